#!/usr/bin/env bash
# Run every test of a build tree; the last line is "N passed, N failed".
# Failures of tests listed in KNOWN-RED.txt are printed but not counted.
set -u
cd "$(dirname "$0")/.."
build=$1
log=$build/test.log
ctest --test-dir "$build" -j "${JOBS:-8}" --timeout 300 --output-on-failure >"$log" 2>&1
known=$(grep -Eo '^test: [A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2)
passed=0
failed=0
while read -r name result; do
	if [ "$result" = Passed ]; then
		passed=$((passed + 1))
	elif grep -qx "$name" <<<"$known"; then
		echo "known red: $name ($result)"
	else
		echo "FAILED: $name ($result)"
		failed=$((failed + 1))
	fi
done < <(sed -nE 's/^ *[0-9]+\/[0-9]+ Test +#[0-9]+: ([A-Za-z0-9_]+) [ .]*\**(Passed|Failed|Timeout|Exception|Not Run|Skipped|Subprocess aborted|SEGFAULT).*/\1 \2/p' "$log")
total=$(ctest --test-dir "$build" -N 2>/dev/null | sed -n 's/^Total Tests: //p')
seen=$(grep -cE '^ *[0-9]+/[0-9]+ Test +#' "$log")
if [ "$seen" -ne "$total" ] || [ "$total" -eq 0 ]; then
	echo "FAILED: $seen of $total tests ran"
	failed=$((failed + 1))
fi
[ "$failed" -eq 0 ] || grep -vE '^ *[0-9]+/[0-9]+ Test.*Passed|^ *Start ' "$log" | head -300
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
