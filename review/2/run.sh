#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/nutmegstage-front.js ] && [ -f dist/review/2/case.js ] || exit 2
TROUBLE="${TROUBLE:-1}" exec node dist/review/2/case.js
