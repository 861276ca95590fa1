#!/usr/bin/env bash
# Exit 0: the rule held, 1: broken, 2: the case could not run. TROUBLE=0 sends the same
# batch without the forged field.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-lab/tenant ] || exit 2
timeout 110 build/review-lab/tenant review/12/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
