#!/bin/sh
# The folders of src stand in layers, and an include goes to the own folder or
# to a lower layer.  Modules (NAME.c with NAME.h) in a circle of includes must
# be listed below; the list may only shrink.
layers="src/core=1 src/core/organisation=2 src/core/text=2 src/core/owner=3 src/core/gate=3
src/core/router=3 src/net=4 src/log=5 src/daemon=6 src/entry=7 src/target=7
src/router=7 src/ctl=8 src/load=9 src=10"
listed=$(cat tests/include_circles.txt)
edges=$(find src -name '*.[ch]' | sort | xargs grep -n '^#include "' /dev/null \
  | sed 's/:[0-9]*:#include "/ /; s/".*//')
found=$(printf '%s\n' "$edges" | awk -v layers="$layers" '
  # Path of what FILE includes as NAME: beside it, else below src.
  function target(file, name,    path, part, n, i, out, k) {
    path = file; sub(/[^\/]*$/, "", path); path = path name
    n = split(path, part, "/"); k = 0
    for (i = 1; i <= n; i++)
      if (part[i] == "..") k--; else out[++k] = part[i]
    path = out[1]
    for (i = 2; i <= k; i++) path = path "/" out[i]
    if (system("test -f " path) == 0) return path
    if (system("test -f src/" name) == 0) return "src/" name
    return ""
  }
  function folder(file) { sub(/\/[^\/]*$/, "", file); return file }
  function module(file) { sub(/\.[ch]$/, "", file); return file }
  # Tarjan: modules that reach each other leave the stack together.
  function visit(v,    w, i, size, members) {
    mark[v] = low[v] = ++count; stack[++depth] = v; on[v] = 1
    for (i = 1; i <= degree[v]; i++) {
      w = next_of[v, i]
      if (!mark[w]) { visit(w); if (low[w] < low[v]) low[v] = low[w] }
      else if (on[w] && mark[w] < low[v]) low[v] = mark[w]
    }
    if (low[v] != mark[v]) return
    do {
      w = stack[depth--]; on[w] = 0; size++; members = members " " w
    } while (w != v)
    if (size > 1) print "circle:" members
  }
  BEGIN {
    n = split(layers, pair, /[ \n]+/)
    for (i = 1; i <= n; i++) { split(pair[i], p, "="); layer[p[1]] = p[2] }
  }
  {
    to = target($1, $2)
    if (to == "" || to !~ /^src\//) next
    a = folder($1); b = folder(to)
    if (!(a in layer)) { print a ": no layer is given for this folder" }
    if (a != b && layer[b] >= layer[a]) { print $1 ": includes " to " of a layer that is not lower" }
    a = module($1); b = module(to)
    if (a != b && !((a, b) in seen)) {
      seen[a, b] = 1; next_of[a, ++degree[a]] = b; name[a] = 1; name[b] = 1
    }
  }
  END {
    for (v in name) if (!mark[v]) visit(v)
  }')
upward=$(printf '%s\n' "$found" | grep -v '^circle:')
circles=$(printf '%s\n' "$found" | sed -n 's/^circle: //p' | while read -r line; do
  printf '%s\n' "$line" | tr ' ' '\n' | sort | tr '\n' ' ' | sed 's/ $//'; echo
done | sort)
if [ -n "$upward" ] || [ "$circles" != "$listed" ]; then
  printf '%s\n' "$upward"
  echo "circles of includes, as listed (<) and as found (>):"
  printf '%s\n' "$circles" | diff tests/include_circles.txt -
  exit 1
fi
echo "includes: downward only, $(printf '%s\n' "$listed" | grep -c .) listed circles"
