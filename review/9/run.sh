#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run is written
# to record.txt in this folder.
set -euo pipefail
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py record.txt
