#!/usr/bin/env bash
# soak.sh FIRST LAST [NODES [SECONDS [JOBS]]]: runs the fault soak with each seed from
# FIRST to LAST. Keeps and prints the logs of seeds that broke a promise.
set -u
cd "$(dirname "$0")/.."
first=$1
last=$2
nodes=${3:-24}
seconds=${4:-15}
jobs=${5:-2}
soak=${SOAK:-build/release/bin/soak}
out=$(mktemp -d /tmp/soak.XXXXXX)

one() {
	local dir=$out/$1
	mkdir -p "$dir"
	if TMPDIR=$dir "$soak" "$1" "$nodes" "$seconds" >"$dir/soak.log" 2>&1; then
		tail -1 "$dir/soak.log"
		rm -rf "$dir"
	else
		echo "seed $1: logs in $dir"
		grep -a BROKEN "$dir/soak.log"
		tail -1 "$dir/soak.log"
		return 1
	fi
}
export -f one
export out nodes seconds soak
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c 'one {}'
rc=$?
[ "$rc" -eq 0 ] && rmdir "$out"
exit "$rc"
