#!/bin/bash
# The stand-ins need only Python's standard library; this checks their syntax.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib [0-9]
