#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/ragwortbeam ] || { echo "target/release/ragwortbeam is not built" >&2; exit 2; }
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins exec python3 case.py
