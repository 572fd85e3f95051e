#!/bin/sh
# Compiles the scripts of the cases and the stand-ins that they start into dist/.
set -eu
cd "$(dirname "$0")/.."
npx tsc --project review
