#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts start; the daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b packages/standins
