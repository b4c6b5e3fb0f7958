#!/bin/sh
# Plays the case once: status 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
exec python3 -u case.py
