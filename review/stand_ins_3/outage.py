"""Part that the cases 11 and 12 share: an ordinary job of one tenant beside odd jobs of another."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab as stand_ins

FINISH_S = 14
ORDINARY = "00000000000000b1"
LATER = "00000000000000b2"
MEMORY_MB = 256

# Three work items of 6 s, and three of 1 s that wait for them.
ORDINARY_JOB = {
    "Spec": "ordinary",
    "Phases": [
        {"Count": 3, "Cpu": 4000, "MemMb": 256, "EstRuntimeMs": 6000},
        {"Count": 3, "Cpu": 4000, "MemMb": 256, "EstRuntimeMs": 1000, "After": [0]},
    ],
}


def work_s(task):
    job, _, step, _ = task.split(".")
    return (6.0 if step == "0" else 1.0) if job in (ORDINARY, LATER) else 0.5


def play(folder, odd_job, odd_count):
    """Plays the case with up to `odd_count` odd jobs of the body `odd_job`, each sent once the one before is accepted."""

    async def case(lab, trouble):
        broken = []
        if await lab.submit("/low/", ORDINARY, ORDINARY_JOB, key="key-b") != 200:
            raise stand_ins.CannotRun("the ordinary job was not accepted in calm")
        await asyncio.sleep(1.0)
        if trouble:
            for number in range(odd_count):
                odd = f"{0xa1 + number:016x}"
                lab.jobs[odd] = json.loads(odd_job)
                lab.record.note(f"trouble: odd job {number + 1} of {len(odd_job)} bytes")
                if await lab.submit("/main/", odd, odd_job, retries=3) != 200:
                    break
        later = await lab.submit("/low/", LATER, ORDINARY_JOB, retries=4, key="key-b")
        lab.record.say(f"end of the traffic; the later ordinary job was answered {later}")
        idle_s = 0.0
        for _ in range(FINISH_S * 10):
            await asyncio.sleep(0.1)
            # Its second step waits for the first one only, which has ended by now.
            first_done = sum(ended.startswith(ORDINARY + ".0.0.") for ended in lab.done) >= 3
            second_done = sum(ended.startswith(ORDINARY + ".0.1.") for ended in lab.done) >= 3
            idle = not second_done and lab.running(ORDINARY) == 0
            idle_s = idle_s + 0.1 if idle else 0.0
            if first_done and second_done:
                idle_s = 0.0
        state = await lab.ask("/low/", ORDINARY, 8.0, "key-b")
        lab.record.say(
            f"{FINISH_S} s after the traffic: ordinary job {state}; nothing of it at work for {idle_s:.1f} s; "
            f"largest memory of a control process {lab.control_memory_mb():.0f} of {MEMORY_MB} MB"
        )
        if state is None:
            broken.append("LOST: the accepted ordinary job gets no answer about its state in 8 s at any entry")
        if state != "completed" and idle_s > 3.0:
            broken.append("LOST: the accepted ordinary job has nothing at work for over 3 s on idle workers")
        return broken

    stand_ins.main(case, folder, work=work_s)
