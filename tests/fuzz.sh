#!/bin/sh
# Runs every libFuzzer program below $BUILD/fuzz for FUZZ_SECONDS on its corpus.
build=${BUILD:-build-fuzz}
seconds=${FUZZ_SECONDS:-60}
failed=0
for corpus in tests/fuzz/corpus/*/; do
  name=$(basename "$corpus")
  found=$build/fuzz/corpus/$name
  mkdir -p "$found"
  # One job each: the machine is shared.
  "$build/fuzz/$name" -max_total_time="$seconds" -timeout=10 -verbosity=1 \
    -artifact_prefix="$build/fuzz/$name-" "$found" "$corpus" \
    >"$build/fuzz/$name.log" 2>&1
  if [ $? -eq 0 ]; then
    printf '%-12s %s\n' "$name" "$(grep -a '^Done ' "$build/fuzz/$name.log")"
  else
    failed=1
    printf '%-12s failed\n' "$name"
    grep -av '^#' "$build/fuzz/$name.log" | tail -n 40
  fi
done
exit $failed
