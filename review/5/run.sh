#!/bin/sh
# Runs the case; the disruption is left out with TROUBLE=0.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec python3 review/5/case.py
