#!/bin/sh
# Compiles the stand-ins that the scripts start; they need no library.
cd "$(dirname "$0")" && exec python3 -m compileall -q lab
