#!/usr/bin/env bash
# Compiles the stand-ins and players of the cases 6 to 10. They use the standard
# library alone, and start the programs that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q fleet_standins.py 6 7 8 9 10
