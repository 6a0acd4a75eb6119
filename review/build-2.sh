#!/bin/bash
# Builds the scripts of cases 6 to 10 and the stand-ins that they start, to dist/review/.
cd "$(dirname "$0")/.." || exit 2
exec npx --no-install tsc -p review/tsconfig.json
