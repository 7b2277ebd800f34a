#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 110 python3 case.py
