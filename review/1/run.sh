#!/usr/bin/env bash
# Freezes and wakes the leading control process in turn; TROUBLE=0 only waits as long.
cd "$(dirname "$0")" && exec python3 -B case.py
