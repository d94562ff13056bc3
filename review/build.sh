#!/bin/bash
# Builds the stand-ins of the cases. They are Python programs of the standard library only, so this checks that the
# interpreter can compile them; the two programs of the deploy file are built by its own build line.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand_ins.py ./*/case.py
