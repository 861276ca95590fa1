#!/usr/bin/env bash
# Builds the programs of the third review's scripts into target/review-3, after the build
# of the deploy file: the project's own stand-ins, review/rig-3 and each case.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -D_GNU_SOURCE -DCATKIN_BIN_DIR=\"target/bin\""
inc="-Ireview/rig-3 -Itest -Itest/hosted -Itest/fakes/platform -Ipackages/base/include"
libs="libmicrohttpd libsodium jansson libcurl"
src="test/hosted/hosted.c test/hosted/store.c test/hosted/server.c test/hosted/body.c
	test/fakes/platform/kv.c test/support/addr.c test/support/proc.c
	review/rig-3/rig.c review/rig-3/proxy.c"
for c in review/1[1-5]/case.c; do
	[ -e "$c" ] || continue
	n=$(basename "$(dirname "$c")")
	# shellcheck disable=SC2086
	cc $flags $inc $(pkg-config --cflags $libs) -o "$out/case-$n" "$c" $src \
		target/packages/base/libcatkin_base.a $(pkg-config --libs $libs) -lpthread -lm
done
