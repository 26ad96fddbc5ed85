#!/usr/bin/env bash
# Builds what the scripts start beside the program of the deploy file: the stand-ins in
# review/standins, which are Python without third-party modules. Their bytecode is compiled here
# only to show early that the interpreter accepts them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in review/standins/*.py review/[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
