#!/bin/sh
# Identifiers, files and tests that the pages name in backquotes must exist in
# the tree, so that a rename in the code is followed in the docs.
pages=$(git ls-files README.md 'docs/*.md')
names=$(git ls-files '*.c' '*.h' '*.proto' '*.sh' '*.ini' '*.toml' '*.service' Makefile)
known=$(mktemp)
trap 'rm -f "$known"' EXIT
cat $names | grep -oE '[A-Za-z_][A-Za-z0-9_]*' | sort -u >"$known"
# Words with an underscore: functions, types, fields, settings, log keys.
# Metrics (mimosa_) are compared by tests/test_docs.c.
words=$(grep -ohE '`[A-Za-z][A-Za-z0-9]*_[A-Za-z0-9_]*( \(\))?`' $pages \
  | tr -d '`() ' | grep -v '^mimosa_' | sort -u)
gone=$(printf '%s\n' "$words" | comm -23 - "$known")
# C files, with or without their folder.
for file in $(grep -ohE '`[A-Za-z0-9_/.-]+\.[ch]`' $pages | tr -d '`' | sort -u); do
  git ls-files | grep -qE "(^|/)$file\$" || gone="$gone
$file"
done
gone=$(printf '%s\n' "$gone" | grep .)
if [ -n "$gone" ]; then
  echo "named in the pages, not in the tree:"
  for name in $gone; do
    grep -nF "\`$name" $pages | cut -c1-120
  done
  exit 1
fi
echo "doc names: $(printf '%s\n' "$words" | grep -c .) identifiers exist"
