#!/usr/bin/env bash
# The router on stand-ins of the users' platform: a conversation goes on at
# another host after the first one is killed, and a budget holds.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
pids=()
end() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap end EXIT

say() { printf '\n== %s\n' "$*"; }

port() { # a free port of the loopback address, below the range of clients'
  echo $((20000 + (RANDOM % 10000)))
}

router() { # NAME HTTP READY PEER SEED
  printf '[router]\nhost = %s\ndata_centre = a\nhttp = 127.0.0.1:%s\nready = 127.0.0.1:%s\npeer = 127.0.0.1:%s\nseeds = 127.0.0.1:%s\ntable = %s\n' \
    "$1" "$2" "$3" "$4" "$5" "$table" >"$work/$1.ini"
  "$build/bin/mimosa-routerd" --settings "$work/$1.ini" >>"$work/log" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://127.0.0.1:$3/" && return
    sleep 0.1
  done
  cat "$work/log"
  exit 1
}

turn() { # HTTP ID PROGRAM PREVIOUS INPUT
  curl -s -m 10 -w ' (%{http_code})' "http://127.0.0.1:$1/kept/x" -H 'Host: demo.example' \
    -H "X-Request-Id: $2" -H "X-Program-Id: $3" -H 'X-Token-Budget: 30' -H 'X-Token-Count: 10,8' \
    ${4:+-H "X-Previous-Turn: $4"} -d "$5" | tr '\n' ' '
  echo
}

"$build/bin/standin-users" >"$work/site" &
pids+=($!)
for _ in $(seq 100); do
  table=$(sed -n 's/^table //p' "$work/site")
  [ -n "$table" ] && break
  sleep 0.1
done
a=$(port); b=$(port); ra=$(port); rb=$(port); pa=$(port); pb=$(port)

say "Two routing hosts before three engines and three plain workers"
router edge-a "$a" "$ra" "$pa" "$pb"
router edge-b "$b" "$rb" "$pb" "$pa"
curl -s -H 'Host: demo.example' -H 'X-Request-Id: r1' -d '' "http://127.0.0.1:$a/once/form"; echo

say "The first turn of a conversation, at edge-a"
turn "$a" t1 p1 "" "Where is my badge?"

say "edge-a is killed; the next turn continues at edge-b, from the table"
kill -9 "${pids[1]}"; wait "${pids[1]}" 2>/dev/null || true
turn "$b" t2 p1 t1 "And the form?"

say "The budget of 30 tokens, of which the lost host keeps its share: what no longer fits is refused and not run"
turn "$b" t3 p1 t2 "More."
turn "$b" t4 p1 t3 "More."

say "The story of the refused turn, from the logs"
sleep 0.3
"$build/bin/mimosactl" explain t4 <"$work/log" | grep -v worker_listed

say "Planned stop"
kill "${pids[2]}"
wait "${pids[2]}" && echo stopped
