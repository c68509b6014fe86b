#!/usr/bin/env bash
# The stand-ins of this review are Python scripts (standard library only). Nothing has to be built.
set -e
python3 -c 'import sys; assert sys.version_info >= (3, 9)'
