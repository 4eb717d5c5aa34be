#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] && [ -x target/bin/mimosa-routerd ] || exit 2
exec target/review-2/case-6 review/6
