#!/bin/bash
# CONFIG: an answer of newlines without end stops the process that relays it.
cd "$(dirname "$0")/../.." && exec python3 review/3/case.py
