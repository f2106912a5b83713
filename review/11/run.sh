#!/bin/bash
# Case 11: an accepted configuration stops all entry hosts for good.
cd "$(dirname "$0")" && exec python3 play.py
