#!/usr/bin/env bash
# Generate the pages of docs/ that are made from the tables in the code.
#   tools/docs.sh                  write them (after make build)
#   tools/docs.sh --check BUILD    print the pages that are out of date, exit 1 if any
set -u
cd "$(dirname "$0")/.."
check=0
build=build/release
if [ "${1:-}" = --check ]; then
	check=1
	build=$2
fi
bad=0
while read -r name page; do
	if [ $check -eq 0 ]; then
		"$build/bin/catalogue" "$name" >"$page" || bad=1
	elif ! "$build/bin/catalogue" "$name" | diff -q - "$page" >/dev/null; then
		echo "$page is stale: run make docs"
		bad=1
	fi
done <<'PAGES'
events docs/EVENTS.md
errors docs/ERRORS.md
metrics docs/METRICS.md
settings docs/help/settings.md
PAGES
exit $bad
