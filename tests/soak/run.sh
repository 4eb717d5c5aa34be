#!/bin/sh
# Runs the soak with some seeds, one after the other.
# usage: run.sh FIRST COUNT SECONDS HOSTS
build=${BUILD:-build}
bad=0
seed=$1
last=$(($1 + $2 - 1))
while [ "$seed" -le "$last" ]; do
  "$build/bin/soak" "$build/bin/mimosa-routerd" "$seed" "$3" "$4" || bad=$((bad + 1))
  seed=$((seed + 1))
done
echo "soak: $2 seeds, $bad failed"
[ "$bad" -eq 0 ]
