#!/usr/bin/env bash
# The stand-ins are Python source of the standard library alone: this compiles them, so that an error shows here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness 1 2 3
