#!/usr/bin/env bash
# Builds the stand-ins and the cases' drivers into target/review, after the build of
# deploy/system.toml. Prints nothing on success.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
read -ra libs <<<"$(pkg-config --cflags --libs libmicrohttpd libcurl jansson libsodium)"
flags=(-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE
	"-DCATKIN_BIN_DIR=\"$PWD/target/bin\"" -Itest -Itest/hosted
	-Itest/fakes/platform -Ipackages/base/include -Ireview/hosted)
# The project's own stand-in of the platform, and what the cases add to it.
parts=(test/hosted/body.c test/hosted/hosted.c test/hosted/nodes.c
	test/hosted/result.c test/hosted/server.c test/hosted/store.c
	test/support/addr.c test/support/proc.c test/fakes/platform/kv.c
	review/hosted/quiet.c review/hosted/dep.c
	target/packages/base/libcatkin_base.a)
for driver in new_route old_reply same_lookup; do
	gcc "${flags[@]}" -o "$out/$driver" "review/hosted/$driver.c" \
		"${parts[@]}" "${libs[@]}" -pthread -lm
done
gcc "${flags[@]}" -o "$out/lookup_server" review/hosted/lookup_server.c \
	test/hosted/body.c "${libs[@]}" -pthread
