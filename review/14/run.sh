#!/bin/bash
# Case 14: a late start of a former leader runs beside the task's run.
cd "$(dirname "$0")" && exec python3 play.py
