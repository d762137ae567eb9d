#!/bin/sh
# The stand-ins are plain Python without dependencies; this checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
