#!/bin/sh
# Builds the stand-ins of the second review. They are Python, standard library only.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/rig-2 review/4 review/5 review/6 review/7
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
