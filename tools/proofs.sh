#!/usr/bin/env bash
# Run the proof of each promise: docs/PROOFS.md says what each one runs.
set -u
cd "$(dirname "$0")/.."
build=$1
bad=0
while IFS='|' read -r n tests _; do
	n=$(tr -d ' ' <<<"$n")
	tests=$(tr -d ' ' <<<"$tests")
	case "$n" in '' | '#'*) continue ;; esac
	if [ "$tests" = none ]; then
		echo "proof $n none"
	elif ctest --test-dir "$build" -R "^($(tr ',' '|' <<<"$tests"))\$" --no-tests=error >"$build/proof.log" 2>&1; then
		echo "proof $n pass"
	else
		echo "proof $n fail"
		bad=1
	fi
done <tools/proofs.txt
exit $bad
