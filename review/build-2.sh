#!/bin/sh
# Compiles the scripts of the cases and the stand-ins that they start into dist/.
set -eu
cd "$(dirname "$0")/.."
# Files that were removed from dist/ are written again.
rm -f review/.tsbuildinfo
npx tsc --project review
