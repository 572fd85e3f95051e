#!/bin/sh
# Compiles the daemon and bundles it into one file, which starts in half the time.
set -eu
[ node_modules -nt package-lock.json ] || npm ci --silent
npx tsc --project deploy/tsconfig.json
npx esbuild target/platform/main.js --bundle --platform=node --format=esm --target=node20 \
  --outfile=target/nutmegstage-front.js --minify-whitespace --legal-comments=none --log-level=warning \
  "--banner:js=import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
