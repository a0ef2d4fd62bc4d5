#!/bin/bash
# Checks the stand-ins of the cases 11 to 15. They are Python programs that use the standard library only, so there
# is nothing to compile; the project's own program is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing"; exit 1; }
python3 - <<'CHECK'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in glob.glob("stand_ins_3/*.py") + glob.glob("1[1-5]/*.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
