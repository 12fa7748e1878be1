#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they are Python without dependencies, so they are only compiled and loaded.
# Runs after the build of the deploy file, whose interpreter the cases use; it needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import dunecove.server, sys; sys.exit(sys.version_info < (3, 11))"
for file in review/common-2/*.py review/[6-9]/*.py review/10/*.py; do
    .venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
PYTHONPATH=review/common-2 PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c "import standins"
echo "the stand-ins are ready"
