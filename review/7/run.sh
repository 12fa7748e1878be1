#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/7/case.py
