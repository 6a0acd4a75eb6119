#!/usr/bin/env bash
# Builds the stand-ins and the cases; needs only the packages that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf dist/review
node node_modules/typescript/bin/tsc -p review/tsconfig.json
