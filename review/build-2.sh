#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use the standard library only, so that there
# is nothing to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
python3 -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' stand_ins_2.py [0-9]*/case.py
