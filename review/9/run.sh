#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" && exec timeout -k 5 110 python3 case.py
