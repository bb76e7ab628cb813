#!/bin/bash
# TWICE: under a burst, streams that may not be repeated run again.
cd "$(dirname "$0")/../.." && exec python3 review/2/case.py
