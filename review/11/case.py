"""Up to three jobs of very many short steps, inside the limits of a body, beside ordinary work."""

import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_3"))
import outage

STEP_COUNT = 20_000
MAX_BODY_BYTES = 262_144

BODY = json.dumps({"Spec": "x", "Phases": [{"Count": 1}] * STEP_COUNT}, separators=(",", ":")).encode()
assert len(BODY) <= MAX_BODY_BYTES
outage.play(FOLDER, BODY, odd_count=3)
