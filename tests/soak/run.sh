#!/bin/sh
# Runs the soak with some seeds, one after the other.  Seeds in which nothing
# but streams were cut pass while KNOWN-RED.txt lists soak::stream_is_cut.
# usage: run.sh FIRST COUNT SECONDS HOSTS
build=${BUILD:-build}
bad=0
red=0
seed=$1
last=$(($1 + $2 - 1))
while [ "$seed" -le "$last" ]; do
  "$build/bin/soak" "$build/bin/mimosa-routerd" "$seed" "$3" "$4"
  case $? in
    0) ;;
    3) red=$((red + 1)) ;;
    *) bad=$((bad + 1)) ;;
  esac
  seed=$((seed + 1))
done
if grep -q '^soak::stream_is_cut ' KNOWN-RED.txt; then
  [ "$red" -eq 0 ] || echo "soak: $red seeds known red: soak::stream_is_cut"
else
  bad=$((bad + red))
fi
echo "soak: $2 seeds, $bad failed"
[ "$bad" -eq 0 ]
