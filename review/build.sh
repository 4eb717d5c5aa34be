#!/bin/sh
# Builds the stand-ins and the callers of the review's scripts, after the build
# of deploy/system.toml.  Needs no other packages than that.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Isrc -Iinclude"
libs=$(pkg-config --cflags --libs talloc tevent jansson nettle libxxhash)
# shellcheck disable=SC2086
cc $flags review/kit/site.c platform/standins/raw_server.c \
  platform/standins/rows_server.c platform/standins/rows_store.c \
  src/net/base64.c src/net/buffer.c src/net/clock.c src/net/http_message.c \
  src/net/listen.c src/net/tcp.c src/net/timer.c src/core/error.c \
  src/core/id.c src/core/idmap.c src/core/memory.c \
  -o target/review/site $libs -lhttp_parser -lm
for case in review/[0-9]/case.c; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  # shellcheck disable=SC2086
  cc $flags -Ireview/kit "$case" review/kit/kit.c -o "target/review/case-$number"
done
