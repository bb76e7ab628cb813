#!/bin/bash
# DRAIN: a server's entry that cannot be read stops the reading of all others.
cd "$(dirname "$0")/../.." && exec python3 review/1/case.py
