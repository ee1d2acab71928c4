#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules without dependencies, so that there is nothing to
# compile; a module that this runtime can't read fails here.
set -euo pipefail
cd "$(dirname "$0")"
for file in 6/standins/*.mjs {6,7,8,9,10}/run.mjs; do
  node --check "$file"
done
