#!/bin/sh
# The stand-ins are Python: the project's are part of the deploy file's build, the others need none.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import harness2"
