#!/bin/bash
# Builds the stand-ins of the scripts. They are plain Python without packages,
# so building them means compiling them, which finds a broken file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/*/ review/extra/*/
