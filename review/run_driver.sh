#!/usr/bin/env bash
# Runs the driver of a case in a temporary folder: run_driver.sh FOLDER DRIVER.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
cd "$tmp"
RECORD="$folder/record.txt" TMPDIR="$tmp" timeout -k 5 110 "$root/target/review/$2"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$tmp"/*.log "$KEEP_LOGS"/; fi
if [ "$code" -gt 1 ]; then exit 2; fi
exit "$code"
