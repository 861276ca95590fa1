#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10, after the build of
# deploy/system.toml. Output: target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
libs="libmicrohttpd jansson libsodium libcurl"
flags="-std=gnu11 -O1 -g -Wall -D_GNU_SOURCE -DCATKIN_BIN_DIR=\"target/bin\"
  -Ipackages/base/include -Itest -Ireview/standins/hosted -Itest/hosted
  $(pkg-config --cflags $libs)"
common="review/standins/hosted/world.c test/hosted/hosted.c review/standins/hosted/store.c
  review/standins/hosted/server.c test/hosted/body.c test/hosted/nodes.c
  review/standins/hosted/kv.c test/support/addr.c test/support/proc.c
  test/support/link.c"
for c in end_handover cut_answer smuggled; do
	cc $flags review/standins/hosted/$c.c $common target/packages/base/libcatkin_base.a \
		$(pkg-config --libs $libs) -lck -lm -lpthread -o $out/$c
done
for c in old_keys big_batch; do
	cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE \
		$(pkg-config --cflags $libs) review/lab/$c.c review/lab/lab.c \
		review/lab/store.c review/lab/server.c $(pkg-config --libs $libs) \
		-lpthread -o $out/$c
done
