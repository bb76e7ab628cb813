#!/bin/bash
# CONFIG: a route that was added later, whose clients send bodies in chunks.
cd "$(dirname "$0")/../../.." && exec python3 review/extra/chunked-bodies/case.py
