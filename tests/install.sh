#!/bin/sh
# Installs below a scratch directory, builds an example against what was
# installed, with nothing of the source tree in sight, and runs it.
set -e
build=${BUILD:-build}
# A make above must not hand its job server, or its words, to the ones here.
unset MAKEFLAGS MFLAGS MAKELEVEL
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
# Installing must not build: it would mix objects of other flags into $build.
make -q BUILD="$build" all || { echo "$build is not up to date"; exit 1; }
make -s BUILD="$build" PREFIX="$root/usr" install >/dev/null
sanitize=
if nm "$root/usr/lib/libmimosaquay.a" | grep -q __asan_init; then
  sanitize=-fsanitize=address,undefined
fi
export PKG_CONFIG_PATH="$root/usr/lib/pkgconfig"
cp examples/check_text.c "$root"
cd "$root"
for file in bin/mimosa-entryd bin/mimosa-targetd bin/mimosactl \
  lib/libmimosaquay.a lib/pkgconfig/mimosaquay.pc include/mimosaquay.h \
  include/mimosaquay/core/gate/gate.h share/man/man1/mimosactl.1 \
  share/man/man8/mimosa-entryd.8 share/man/man8/mimosa-targetd.8 \
  share/doc/mimosaquay/examples/mimosa-entryd.service; do
  [ -s "usr/$file" ] || { echo "$file was not installed"; exit 1; }
done
[ "$(pkg-config --modversion mimosaquay)" = "$(usr/bin/mimosactl --version | sed 's/mimosactl \(.*\) (.*/\1/')" ]
cc -std=gnu11 -Wall -Werror $sanitize check_text.c $(pkg-config --cflags --libs mimosaquay) -o check_text
./check_text | grep -c text_
