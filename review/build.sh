#!/usr/bin/env bash
# Builds the stand-ins and the cases' drivers into target/review, after the build of
# deploy/system.toml. Prints nothing on success.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
read -ra flags <<<"$(pkg-config --cflags --libs libmicrohttpd libcurl jansson libsodium)"
parts=(test/hosted/body.c test/hosted/hosted.c test/hosted/nodes.c
	test/hosted/result.c test/hosted/server.c test/hosted/store.c
	test/support/addr.c test/support/proc.c test/fakes/platform/kv.c
	review/hosted/quiet.c review/hosted/site.c)
for driver in new_route; do
	gcc -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE \
		-DCATKIN_BIN_DIR="\"$PWD/target/bin\"" \
		-Itest -Itest/hosted -Itest/fakes/platform -Ipackages/base/include \
		-Ireview/hosted -o "$out/$driver" "review/hosted/$driver.c" \
		"${parts[@]}" target/packages/base/libcatkin_base.a \
		"${flags[@]}" -pthread -lm
done
