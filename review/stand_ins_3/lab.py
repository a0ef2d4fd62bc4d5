"""Small deployment on loopback addresses: processes of the project, and stand-ins of workers and clients.

The stand-ins speak what the users' pages say. A worker guards its capacity, keeps the highest fencing
token, refuses old runs, ends its runs when its lease expires, and tells its start in `born`.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

PROGRAM = os.environ.get("YUCCATACK_PROGRAM", "target/release/yuccatack")
PORT_RANGE = (17000, 17015)
FRONT, READY, CONTROL, APP = 18521, 18523, 18526, 18529
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Log of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def http_call(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own; returns status and body, or (None, reason)."""
    payload = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(payload)}", "Connection: close"]
    headers = dict(headers or {})
    headers.setdefault("Host", f"{address[0]}:{address[1]}")
    headers.setdefault("Content-Type", "application/json")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    request = ("\r\n".join(lines) + "\r\n\r\n").encode() + payload

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__


class Worker:
    """Worker on a side machine, as the users' pages describe a minion."""

    def __init__(self, lab, index, ip, cpu=32000, gpus=8, work=None):
        self.lab, self.index, self.ip = lab, index, ip
        self.id = f"i-{index:08x}"
        self.capacity = {"Cpu": cpu, "MemMb": 131072, "Gpus": gpus}
        self.work = work or (lambda task: 1.0)
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.token = 0
        self.lease = 0
        self.running = {}
        self.closed = {}
        self.ended = []
        self.next_end = 1
        self.silent_until = 0.0
        self.starts = []
        self.server = None
        self.tasks = []
        self.acks = []

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    async def serve(self):
        self.server = await asyncio.start_server(self.connection, self.ip, APP)
        self.tasks = [asyncio.create_task(self.ping()), asyncio.create_task(self.expire())]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()

    async def ping_once(self):
        self.sequence += 1
        document = {
            "Service": "pool", "Addr": f"{self.ip}:{APP}", "Zone": "here", "Version": "v1",
            "Slots": 8, "State": self.state, "ColdLeftMs": 0, "Capacity": self.capacity,
            "Labels": ["a", f"r{1 + self.index // 3}"], "ClockMs": self.clock(), "Seq": self.sequence, "born": self.born,
        }
        status, _ = await http_call((self.ip, CONTROL), "PUT", f"/instances/{self.id}", document, timeout=1.0)
        if status == 200:
            self.acks.append((self.lab.record.now(), self.state))
        return status

    async def ping(self):
        while True:
            await self.ping_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            self.end_due()

    def end_due(self):
        lapsed = self.clock() > self.lease
        now = time.monotonic()
        for key in list(self.running):
            if lapsed:
                self.end(key, "lapsed")
            elif now >= self.running[key]["due"]:
                self.end(key, "done")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        task, number = key
        self.closed[task] = max(number, self.closed.get(task, 0))
        self.ended.append([self.next_end, task, number, how, ""])
        self.next_end += 1
        self.lab.on_end(self, task, number, how)

    def free(self):
        free = dict(self.capacity)
        for run in self.running.values():
            for name in free:
                free[name] -= run["demand"].get(name, 0)
        return free

    async def connection(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split()
                arrived = self.lab.record.now()
                if time.monotonic() < self.silent_until:
                    # An unhealthy worker: nothing is done for the call, and nobody answers it.
                    await reader.read()
                    return
                status, answer = self.handle(path, headers, json.loads(body or b"{}"), arrived)
                if path == "/hold" and status == 200:
                    wait = json.loads(body).get("WaitMs", 0)
                    deadline = time.monotonic() + wait / 1000
                    while time.monotonic() < deadline and not answer["EndedRuns"]:
                        await asyncio.sleep(0.01)
                        answer = self.lists()
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def lists(self):
        return {
            "ClockMs": self.clock(), "born": self.born,
            "Running": [[task, number, "", run["percent"](), 0] for (task, number), run in self.running.items()],
            "EndedRuns": self.ended[:500],
        }

    def handle(self, path, headers, body, arrived):
        self.end_due()
        clock = self.clock()
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"ClockMs": clock}
        if body.get("FenceToken", 0) < self.token:
            return 409, {"ClockMs": clock, "Reason": "fence"}
        self.token = body.get("FenceToken", 0)
        deadline = min(body.get("DeadlineMs", 0), clock + 10000)
        if path == "/hold":
            self.lease = max(self.lease, deadline)
            acknowledged = body.get("AckSeq", 0)
            self.ended = [end for end in self.ended if end[0] > acknowledged]
            return 200, self.lists()
        key = (body["Task"], body["RunId"])
        if path == "/run-stop":
            self.closed[key[0]] = max(key[1], self.closed.get(key[0], 0))
            self.end(key, "stopped")
            return 200, {"ClockMs": clock}
        if path != "/run-start":
            return 404, {}
        if body.get("DeadlineMs", 0) < clock:
            return 409, {"ClockMs": clock, "Reason": "late"}
        self.lease = max(self.lease, deadline)
        if key in self.running:
            return 200, {"ClockMs": clock}
        if key[1] <= self.closed.get(key[0], 0):
            return 409, {"ClockMs": clock, "Reason": "old"}
        demand = self.lab.demand(key[0])
        free = self.free()
        if any(free[name] < demand.get(name, 0) for name in free):
            return 409, {"ClockMs": clock, "Reason": "room"}
        began, length = time.monotonic(), self.work(key[0])
        percent = lambda: min(99, int(100 * (time.monotonic() - began) / length))
        self.running[key] = {"due": began + length, "demand": demand, "percent": percent}
        self.starts.append((arrived, key))
        self.lab.on_start(self, key[0], key[1], arrived)
        return 200, {"ClockMs": clock}


class Lab:
    """Deployment with its processes, workers and record."""

    def __init__(self, folder, cores=5, fronts=3, sides=3, machines=2, **worker_options):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="yuccatack-review-")
        pid = os.getpid()
        self.network = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self.tolerated = machines
        self.core_ips = [f"{self.network}.{1 + n}" for n in range(cores)]
        self.front_ips = [f"{self.network}.{21 + n}" for n in range(fronts)]
        self.side_ips = [f"{self.network}.{41 + n}" for n in range(sides)]
        self.worker_options = worker_options
        self.processes = {}
        self.workers = []
        self.jobs = {}
        self.done = []

    # Settings and processes

    def settings(self, role, ip, first=True):
        seeds = ",".join(f'"{core}:{CONTROL}"' for core in self.core_ips[:3])
        listen = f'Front = "{ip}:{FRONT}"\nReadiness = "{ip}:{READY}"' if role == "entry" \
            else f'Control = "{ip}:{CONTROL}"'
        disk = f'DataDir = "{self.temp}/data-{ip}"\n' if role == "control" else ""
        app = f'app = "{ip}:{APP}"\n' if role == "agent" else ""
        memory = {"entry": 260, "agent": 128, "control": 256}[role]
        return (
            f'Node = "{role}-{ip.rsplit(".", 1)[1]}"\nRole = "{role}"\nIp = "{ip}"\nZone = "here"\n'
            f'Region = "region"\nPortRange = [{PORT_RANGE[0]},{PORT_RANGE[1]}]\nSeeds = [{seeds}]\n'
            f'Bootstrap = {"true" if first else "false"}\nHeartbeatMs = 1500\nOrders = "rpc"\n'
            f'{disk}{app}[Zones]\nhere = "region"\n[Listen]\n{listen}\n'
            f'[Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = {memory}\nMaxFds = 4096\n'
            f'LinkMbps = 1000.0\nDiskMb = {128 if role == "control" else 0}\n'
            f'[FaultTolerance]\nMachines = {self.tolerated}\nZones = 0\nRegions = 0\n'
            f'[Bounds]\nContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 6\n'
            f'ConfigApplyMs = 2000\nStrictRevoke = true\nRevokeMs = 5000\nMaxHoldMs = 10000\n'
            f'StopTimeoutMs = 400\nGangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n'
            f'early_ms = 250\nfinish_s = 14\nstatus_s = 120\nFarFactor = 3\n'
        )

    def start(self, role, ip, first=True):
        path = f"{self.temp}/{role}-{ip}.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(role, ip, first))
        log = open(f"{self.temp}/{role}-{ip}.log", "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["YUCCATACK_BOOT"] = path
        process = subprocess.Popen([PROGRAM, "host", role], env=env, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        log.close()
        self.processes[(role, ip)] = process
        return process

    def kill(self, role, ip, number=signal.SIGKILL):
        process = self.processes[(role, ip)]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    async def begin(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing; build it first")
        for ip in self.core_ips:
            self.start("control", ip)
        for ip in self.front_ips:
            self.start("entry", ip)
        for index, ip in enumerate(self.side_ips):
            worker = Worker(self, index + 1, ip, **self.worker_options)
            await worker.serve()
            self.workers.append(worker)
            self.start("agent", ip)

    async def ready(self, timeout=20.0):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            states = [await http_call((ip, READY), "GET", "/ready", timeout=1.0) for ip in self.front_ips]
            if all(status == 200 for status, _ in states) and all(
                any(True for _ in worker.acks) and worker.token for worker in self.workers
            ):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment did not become ready")

    async def end(self):
        for worker in self.workers:
            await worker.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    # Operator

    def manifest(self, version, **changes):
        queue = {
            "Name": "r-main", "Host": "nony24.example", "PathPrefix": "/main/",
            "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 1000, "Priority": 1,
            "Service": "pool", "MaxAttempts": 2, "Stretch": 3.0, "Public": False,
        }
        manifest = {
            "Version": version,
            "Routes": [queue, {**queue, "Name": "r-low", "PathPrefix": "/low/", "Priority": 2}],
            "Services": [{"Name": "pool", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                          "Tls": False, "AdmissionControl": True, "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "kaje80", "ApiKeys": ["key-a"], "Priority": 1, "Guaranteed": {"Gpus": 0}},
                        {"Name": "olu31", "ApiKeys": ["key-b"], "Priority": 1, "Guaranteed": {"Gpus": 0}}],
        }
        manifest.update(changes)
        return manifest

    async def configure(self, manifest, timeout=15.0):
        deadline = time.monotonic() + timeout
        turn = 0
        while time.monotonic() < deadline:
            ip = self.core_ips[turn % len(self.core_ips)]
            turn += 1
            status, _ = await http_call((ip, CONTROL), "PUT", "/config", manifest, timeout=1.5)
            self.record.note(f"operator PUT /config version {manifest['Version']} at {ip}: {status}")
            if status == 200:
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"the manifest was refused with {status}")
            await asyncio.sleep(0.3)
        raise CannotRun("the manifest was not acknowledged")

    # Consumers

    async def call(self, method, queue, job="", body=None, key="key-a", entry=0, timeout=3.0, host="nony24.example"):
        headers = {"Host": host, "Deadline-Ms": str(int(timeout * 1000))}
        if key:
            headers["Api-Key"] = key
        ip = self.front_ips[entry % len(self.front_ips)]
        status, answer = await http_call((ip, FRONT), method, f"{queue}{job}", body, headers, timeout)
        text = answer.decode(errors="replace")[:80] if isinstance(answer, bytes) else answer
        size = 0 if body is None else len(body) if isinstance(body, bytes) else len(json.dumps(body))
        self.record.note(f"consumer {method} {queue}{job} key {key} at entry {entry} ({size} bytes): {status} {text}")
        return status, answer

    async def submit(self, queue, job, body, retries=8, **options):
        """Hands a job in as a consumer does: again under its ID while there is no clear answer."""
        self.jobs.setdefault(job, body)
        status = None
        for attempt in range(retries):
            options["entry"] = attempt
            status, _ = await self.call("POST", queue, job, body, **options)
            if status == 200 or status in (400, 401, 404, 413):
                return status
            await asyncio.sleep(1.0 if status in (429, 503) else 0.2)
        return status

    async def state(self, queue, job, **options):
        status, answer = await self.call("GET", queue, job, **options)
        if status == 200:
            return json.loads(answer).get("State")
        return status

    async def ask(self, queue, job, seconds, key):
        """Asks all entries for a job until one tells its state; returns None if none does in time."""
        deadline = self.record.now() + seconds
        turn = 0
        while self.record.now() < deadline:
            state = await self.state(queue, job, key=key, entry=turn)
            if isinstance(state, str) or state == 410:
                return state
            turn += 1
            await asyncio.sleep(0.3)
        return None

    def running(self, job):
        """Returns the number of work items of a job that are at work."""
        return sum(key[0].startswith(job + ".") for worker in self.workers for key in worker.running)

    def control_memory_mb(self):
        """Returns the largest memory of a control process so far, in MB."""
        peaks = [0.0]
        for (role, _), process in self.processes.items():
            if role == "control" and process.poll() is None:
                with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
                    peaks += [int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM")]
        return max(peaks)

    def demand(self, task):
        job, _, step, _ = task.split(".")
        body = self.jobs.get(job)
        if body is None:
            return {"Cpu": 0, "MemMb": 0, "Gpus": 0}
        phase = body["Phases"][int(step)]
        return {name: phase.get(name, 0) for name in ("Cpu", "MemMb", "Gpus")}

    def on_start(self, worker, task, number, arrived):
        self.record.note(f"worker {worker.id} started {task} run {number}")

    def on_end(self, worker, task, number, how):
        if how == "done":
            self.done.append(task)
        self.record.note(f"worker {worker.id} ended {task} run {number}: {how}")


def main(case, folder, **options):
    """Runs `case(lab, trouble)`, which returns a list of broken rules, and exits with the result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        lab = Lab(folder, **options)
        try:
            await lab.begin()
            await lab.ready()
            await lab.configure(lab.manifest(1))
            await asyncio.sleep(1.0)
            broken = await asyncio.wait_for(case(lab, trouble), 90)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            lab.record.say(f"cannot run: {type(error).__name__} {error}")
            return 2
        finally:
            await lab.end()
        for line in broken:
            lab.record.say(f"broken: {line}")
        if not broken:
            lab.record.say("held")
        return 1 if broken else 0

    raise SystemExit(asyncio.run(play()))
