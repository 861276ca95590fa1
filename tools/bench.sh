#!/usr/bin/env bash
# Run every benchmark program and print a line per check; exit 1 if one fails. Checks
# listed in KNOWN-RED.txt (bench: NAME) are printed but not counted.
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
known=$(sed -n 's/^bench: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null)
while read -r _ name _; do
	if grep -qx "$name" <<<"$known"; then
		echo "known red: $name"
	else
		bad=1
	fi
done < <(grep -E ' fail$|printed nothing' "$build/bench.log")
exit $bad
