#!/usr/bin/env bash
# Exit 0: the rule held, 1: broken, 2: the case could not run. TROUBLE=0 leaves the home
# alive; DAYS=N sets the age of the deployment (7).
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-lab/oldkeys ] || exit 2
timeout 110 build/review-lab/oldkeys review/10/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
