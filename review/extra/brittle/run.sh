#!/bin/bash
# LIMIT: brittle servers fall over under what they have to turn away.
cd "$(dirname "$0")/../../.." && exec python3 review/extra/brittle/case.py
