#!/usr/bin/env bash
# Leaders stand still in turn while an order for a machine gets no answer; TROUBLE=0 leaves the leaders running.
cd "$(dirname "$0")" && exec python3 -B case.py
