"""Two scheduled jobs whose million occurrences each are all due, beside ordinary work."""

import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_3"))
import outage

# Every minute, without a first time: by the page it counts as 0, and the times are measured from 1970.
BODY = json.dumps({
    "Spec": "x", "RepeatCount": 1_000_000, "PeriodMs": 60_000,
    "Phases": [{"Count": 1, "Cpu": 100, "MemMb": 16, "EstRuntimeMs": 500}],
}).encode()
outage.play(FOLDER, BODY, odd_count=2)
