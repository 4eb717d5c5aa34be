#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
kit="review/kit-2/kit.c platform/standins/raw_server.c
     platform/standins/rows_server.c platform/standins/rows_store.c
     src/core/error.c src/core/id.c src/core/idmap.c src/core/memory.c
     src/net/base64.c src/net/buffer.c src/net/clock.c src/net/http_conn.c
     src/net/http_message.c src/net/listen.c src/net/tcp.c src/net/timer.c"
packages="talloc tevent jansson nettle libxxhash"
for case in review/*/case.c
do
  grep -q kit-2/kit.h "$case" || continue
  name=$(basename "$(dirname "$case")")
  # shellcheck disable=SC2046,SC2086
  ${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Iinclude -Isrc \
    $(pkg-config --cflags $packages) "$case" $kit -o "$out/case-$name" \
    $(pkg-config --libs $packages) -lhttp_parser -lm
done
