#!/usr/bin/env bash
# Builds the programs of the third review's scripts into target/review-3, after the build
# of the deploy file: the project's own stand-ins, and review/rig-3/hosted with a program for
# each script.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -D_GNU_SOURCE -DCATKIN_BIN_DIR=\"target/bin\""
inc="-Ireview/rig-3/hosted -Itest -Itest/hosted -Itest/fakes/platform -Ipackages/base/include"
libs="libmicrohttpd libsodium jansson libcurl"
src="test/hosted/hosted.c test/hosted/store.c test/hosted/server.c test/hosted/body.c
	test/fakes/platform/kv.c test/support/addr.c test/support/proc.c
	review/rig-3/hosted/rig.c review/rig-3/hosted/store_relay.c"
for c in store_exchange batch_again many_tenants; do
	# shellcheck disable=SC2086
	cc $flags $inc $(pkg-config --cflags $libs) -o "$out/$c" review/rig-3/hosted/$c.c $src \
		target/packages/base/libcatkin_base.a $(pkg-config --libs $libs) -lpthread -lm
done
