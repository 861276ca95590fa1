#!/usr/bin/env bash
# Builds the stand-ins of this folder into build/review-lab.
set -eu
cd "$(dirname "$0")/../.."
out=build/review-lab
mkdir -p "$out"
libs=$(pkg-config --cflags --libs libmicrohttpd libcurl jansson libsodium)
for name in oldkeys; do
	# shellcheck disable=SC2086
	cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-parameter \
		-o "$out/$name" review/lab/lab.c review/lab/store.c \
		review/lab/server.c "review/lab/$name.c" $libs -lpthread
done
