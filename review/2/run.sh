#!/bin/sh
# Case 2; see claim.txt.  Build first: the build of deploy/system.toml, then
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-2 ] && [ -x target/bin/mimosa-routerd ] || exit 2
# TROUBLE=0: the same without the disruption.
case ${TROUBLE:-1} in
0) exec target/review/case-2 review/2/record.txt 0 ;;
*) exec target/review/case-2 review/2/record.txt 1 ;;
esac
