#!/usr/bin/env bash
# Builds the stand-ins. They are Python modules of the standard library alone, so that compiling them is all.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 ../.venv/bin/python - <<'PY'
from pathlib import Path

for path in sorted(Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("built", path)
PY
