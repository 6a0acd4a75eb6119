#!/bin/bash
# Builds the scripts of cases 6 to 10 and the stand-ins that they start, to dist/review/. Needs only the
# packages that the build of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/tsconfig.json --incremental false
