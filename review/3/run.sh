#!/usr/bin/env bash
# Hands in one job that can never be done, with many overdue times, among small ones; TROUBLE=0 leaves it out.
cd "$(dirname "$0")" && exec python3 -B case.py
