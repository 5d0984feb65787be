#!/bin/sh
# Plays the case; with TROUBLE=0 without its disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
