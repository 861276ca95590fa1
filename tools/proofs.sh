#!/usr/bin/env bash
# Run the tests listed in tools/proofs.txt, each once, and print one line per promise.
# docs/PROOFS.md describes what each test does.
set -u
cd "$(dirname "$0")/.."
build=$1
log=$build/proofs.log
rows=$(grep -E '^[0-9]+\|' tools/proofs.txt)
tests=$(cut -d'|' -f2 <<<"$rows" | tr ',' '\n' | grep -vx none | sort -u)
ctest --test-dir "$build" -j "${JOBS:-8}" --no-tests=error \
	-R "^($(paste -sd'|' <<<"$tests"))\$" >"$log" 2>&1
bad=0
while IFS='|' read -r n list _; do
	verdict=pass
	for t in ${list//,/ }; do
		[ "$t" = none ] && verdict=none && continue
		grep -qE "Test +#[0-9]+: $t \.+ +Passed" "$log" || verdict=fail
	done
	[ "$verdict" = fail ] && bad=1
	echo "proof $n $verdict"
done <<<"$rows"
exit $bad
