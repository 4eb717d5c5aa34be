#!/bin/sh
# clang-tidy and cppcheck over the C files that are named.  clang-tidy gets one
# file at a time: of several it carries its view of va_start from one to the
# next and reports va_lists that are in order as uninitialized.
set -e
flags="-std=gnu11 -D_GNU_SOURCE -Iinclude -Isrc -Iproto"
printf '%s\n' "$@" | xargs -P 8 -n 1 sh -c '
  flags=$0
  clang-tidy --quiet "$@" -- $flags 2>/dev/null || exit 255' "$flags"
cppcheck --quiet --std=c11 --enable=warning,performance,portability \
  --inline-suppr --suppress=missingIncludeSystem --error-exitcode=2 \
  --library=tests/criterion.cfg \
  -j 8 -Iinclude -Isrc "$@"
echo "lint: $# files clean"
