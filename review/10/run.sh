#!/bin/sh
# See claim.txt. Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0
# sends batches of 0.2 MB.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 5 110 target/review-2/big_batch "${RECORD:-$here/record.txt}"
code=$?
[ -z "${KEEP_LOGS:-}" ] && rm -rf "$TMPDIR" || echo "logs: $TMPDIR"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
