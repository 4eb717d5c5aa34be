#!/bin/sh
# Runs the soak with some seeds, one after the other.  Seeds whose violations
# are all of kinds that KNOWN-RED.txt lists pass: soak::stream_is_cut and
# soak::request_ends_more_workers.
# usage: run.sh FIRST COUNT SECONDS HOSTS
build=${BUILD:-build}
bad=0
seed=$1
last=$(($1 + $2 - 1))

# Whether all the kinds are listed; prints them.
listed ()
{
  for kind; do
    grep -q "^soak::$kind " KNOWN-RED.txt || return 1
  done
  echo "soak: seed $seed known red: $*"
}

while [ "$seed" -le "$last" ]; do
  "$build/bin/soak" "$build/bin/mimosa-routerd" "$seed" "$3" "$4"
  case $? in
    0) ;;
    3) listed stream_is_cut || bad=$((bad + 1)) ;;
    4) listed request_ends_more_workers || bad=$((bad + 1)) ;;
    5) listed stream_is_cut request_ends_more_workers || bad=$((bad + 1)) ;;
    *) bad=$((bad + 1)) ;;
  esac
  seed=$((seed + 1))
done
echo "soak: $2 seeds, $bad failed"
[ "$bad" -eq 0 ]
