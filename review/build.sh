#!/usr/bin/env bash
# Builds what the scripts of the cases start. The stand-ins are plain modules for Node.js, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
