#!/usr/bin/env bash
# Builds the cases 11 to 15 with the stand-ins that they start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/1[1-5]/case.ts; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  node_modules/.bin/rolldown "$case" --platform node --format esm --file "dist/review-3/$number.mjs"
done
