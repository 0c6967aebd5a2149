#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node.js, so that only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
