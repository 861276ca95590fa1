#!/usr/bin/env bash
# Run every benchmark program and print a line per check; exit 1 if one fails.
set -u
cd "$(dirname "$0")/.."
build=$1
bad=0
shopt -s nullglob
for b in "$build"/bin/bench_*; do
	[ -f "$b" ] && [ -x "$b" ] || continue
	timeout 120 "$b" | grep '^bench ' || { echo "bench $(basename "$b") printed nothing"; bad=1; }
	[ "${PIPESTATUS[0]}" -eq 0 ] || bad=1
done | tee "$build/bench.log"
grep -qE ' fail$|printed nothing' "$build/bench.log" && bad=1
exit $bad
