#!/usr/bin/env bash
# Checks that everything that the cases of the second review start is there.  The stand-ins are the
# project's own Python modules and need no build beyond that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform:. python3 -W ignore - <<'CHECK'
import pathlib
import sys

sys.path.insert(0, "review")
import small_deployment

assert (small_deployment.ROOT / "platform" / "start.py").is_file()
for case in sorted(pathlib.Path("review").glob("[4-8]/case.py")):
    compile(case.read_text(), str(case), "exec")
    print(f"{case}: ready")
CHECK
