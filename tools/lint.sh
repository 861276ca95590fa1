#!/usr/bin/env bash
# Check log fields, format and clang-tidy of all sources; exit 1 on any finding.
set -u
cd "$(dirname "$0")/.."
mapfile -t all < <(git ls-files '*.c' '*.h')
# test_log.c logs invalid fields on purpose.
git ls-files '*.c' ':!packages/base/test/test_log.c' |
	xargs awk -f tools/log_keys.awk || exit 1
clang-format --dry-run -Werror "${all[@]}" || exit 1
cmake -G Ninja -S . -B build/release >/dev/null || exit 1
git ls-files '*.c' | xargs -P "${JOBS:-10}" -n 4 \
	clang-tidy --quiet -p build/release >build/lint.log 2>/dev/null
if grep -qE '(warning|error):' build/lint.log; then
	grep -E '(warning|error):' build/lint.log | sort -u
	exit 1
fi
echo "lint: ${#all[@]} files clean"
