#!/bin/sh
# Builds the stand-ins of the cases: Python modules without dependencies, compiled here.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || python3 platform/build.py
python3 -m compileall -q review
