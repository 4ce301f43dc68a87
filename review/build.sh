#!/usr/bin/env bash
# Builds the stand-ins. They are Python programs that use the standard library only, so that
# nothing has to be fetched: this compiles them, and shows that the interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile ./*.py ./[0-9]*/*.py trials/*.py
