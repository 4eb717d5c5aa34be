#!/usr/bin/env bash
# Slopes of whole processes on loopback, for docs/CAPACITY.md: what a
# connection costs at rest, what a call and a token cost the two daemons,
# and what a hop adds.  At most 60 processes; about two minutes.
#
#   bench/capacity.sh [rest] [calls] [tokens] [hops]
set -eu
cd "$(dirname "$0")/.."
. examples/site.sh
trap site_end EXIT

REPEATS=3
REST_SECONDS=4

sorted() { printf '%s\n' "$@" | sort -g | tr '\n' ' '; }

# NAME SIZE UNIT VALUE…: median and range
show() {
  local name=$1 size=$2 unit=$3 values
  shift 3
  read -r -a values <<<"$(sorted "$@")"
  printf '%-34s %8s %12s %-26s range %s..%s\n' "$name" "$size" \
    "${values[$((${#values[@]} / 2))]}" "$unit" "${values[0]}" "${values[-1]}"
}

metric() { # ADDRESS NAME
  curl -s "http://$1/metrics" | sed -n "s/^mimosa_$2 //p"
}

# Processor time of a process in microseconds, all its threads.
cpu_us() { # PID
  cat /proc/"$1"/task/*/schedstat | awk '{ns += $1} END {printf "%d\n", ns / 1000}'
}

memory_kb() { # PID
  awk '/^VmRSS/ {print $2}' /proc/"$1"/status
}

div() { awk -v a="$1" -v b="$2" -v d="${3:-2}" 'BEGIN {printf "%.*f\n", d, b == 0 ? 0 : a / b}'; }

worker() { printf '%s,%s,%s,%s' "$1" "$2" "$3" "${4:-}"; }

text() {
  cat >"$site_dir/site.ini" <<INI
[site]
name = capacity
partitions = 24
lease_ms = 5000
cache_lease_ms = 60000

[organisation o]
key_sha256 = $(printf '%s' capacity | "$site_bin/mimosactl" hash-key)
max_programs = 100000

[service m]
kind = model
model = m
max_tokens = 2048
timeout_ms = 60000
INI
  site_apply "$site_dir/site.ini" >/dev/null
}

# COUNT target hosts with one worker each, all on one engine whose times are
# multiplied by SCALE; 2 entry hosts.
begin() { # COUNT SCALE
  local i
  site_begin
  text
  site_engines engine 1 m --time-scale "$2" --slots 64 --cache-tokens 4000000
  for ((i = 1; i <= $1; i++)); do
    site_target "t-$i" one "$(worker m model "${site_urls_engine// /}" m)"
  done
  site_entry entry-1 one
  site_entry entry-2 one
  site_ready "$site_http_entry_1" "$site_http_entry_2"
}

pid_of() { eval "echo \$site_pid_${1//-/_}"; }
http_of() { eval "echo \$site_http_${1//-/_}"; }

sample() { # HOST: cpu control_out control_in polls
  local pid http
  pid=$(pid_of "$1")
  http=$(http_of "$1")
  echo "$(cpu_us "$pid") $(metric "$http" peer_control_bytes_out) $(metric "$http" peer_control_bytes_in)"
}

rest_of() { # HOST PEERS
  local a b i cpu=() out=() in=()
  for ((i = 0; i < REPEATS; i++)); do
    a=($(sample "$1"))
    sleep $REST_SECONDS
    b=($(sample "$1"))
    cpu+=("$(div $((100 * (b[0] - a[0]))) $((REST_SECONDS * 1000000)) 3)")
    out+=("$(div $((b[1] - a[1])) $REST_SECONDS 0)")
    in+=("$(div $((b[2] - a[2])) $REST_SECONDS 0)")
  done
  show "rest.${1%-*}.cpu" "$2" "% of a core" "${cpu[@]}"
  show "rest.${1%-*}.control_out" "$2" "bytes/s" "${out[@]}"
  show "rest.${1%-*}.control_in" "$2" "bytes/s" "${in[@]}"
  show "rest.${1%-*}.memory" "$2" "KB resident" "$(memory_kb "$(pid_of "$1")")"
}

rest() {
  local count
  for count in 2 12 50; do
    begin $count 0.00001
    sleep 3
    rest_of entry-1 $((count + 1))
    rest_of t-1 2
    site_end
  done
}

calls_file() { # COUNT TOKENS SEED STREAM
  awk -v n="$1" -v t="$2" -v s="$3" -v stream="$4" -v url="http://$site_http_entry_1/v1/programs" 'BEGIN {
    for (i = 0; i < n; i++) {
      if (i) print "next"
      print "url = " url
      print "header = \"Authorization: Bearer capacity\""
      print "header = \"Idempotency-Key: k-" s "-" i "\""
      print "data = \"{\\\"service\\\":\\\"m\\\",\\\"stream\\\":" stream ",\\\"input\\\":\\\"Letter " s "-" i ". plan=[{\\\\\\\"answer\\\\\\\":" t "}]\\\"}\""
      print "output = /dev/null"
      print "silent"
      print "write-out = \"%{http_code}\\n\""
    }}'
}

calls_of() { # NAME TOKENS COUNT STREAM
  local name=$1 i entry target t0 t1 e0 g0 f0 ok
  local per_s=() entry_us=() target_us=() frames=()
  shift
  entry=$(pid_of entry-1)
  target=$(pid_of t-1)
  for ((i = 0; i < REPEATS; i++)); do
    calls_file "$2" "$1" "$name-$1-$i" "$3" >"$site_dir/calls"
    e0=$(cpu_us "$entry")
    g0=$(cpu_us "$target")
    f0=$(metric "$site_http_t_1" peer_frames_out)
    t0=$(date +%s%N)
    ok=$(curl -Z --parallel-max 32 -K "$site_dir/calls" 2>/dev/null | grep -c '^200' || true)
    t1=$(date +%s%N)
    [ "$ok" = "$2" ] || echo "calls: only $ok of $2 were answered"
    per_s+=("$(div $((ok * 1000000)) $(((t1 - t0) / 1000)) 0)")
    entry_us+=("$(div $(($(cpu_us "$entry") - e0)) "$2" 1)")
    target_us+=("$(div $(($(cpu_us "$target") - g0)) "$2" 1)")
    frames+=("$(div $(($(metric "$site_http_t_1" peer_frames_out) - f0)) "$2" 1)")
  done
  show "$name.rate" "$1" "calls/s, one client" "${per_s[@]}"
  show "$name.entryd" "$1" "us of CPU a call" "${entry_us[@]}"
  show "$name.targetd" "$1" "us of CPU a call" "${target_us[@]}"
  show "$name.frames" "$1" "frames a call, targetd" "${frames[@]}"
}

# Every call goes to the host that owns its partition: the other one ends.
begin_alone() { # SCALE
  begin 1 "$1"
  kill -TERM "$(pid_of entry-2)"
  wait "$(pid_of entry-2)" || true
  sleep 3
}

# An engine that takes no time: text comes in few large pieces.
calls() {
  begin_alone 0.00001
  calls_of calls 8 1000 false
  calls_of calls 100 600 false
  site_end
}

# A piece of text for each token, streamed to the caller.
tokens() {
  begin_alone 0.25
  calls_of tokens 8 400 true
  calls_of tokens 100 200 true
  calls_of tokens 400 100 true
  site_end
}

# Median and 95th of 100 in ms of 200 calls, one after another.
times_of() { # URL BODY
  local i
  for ((i = 0; i < 200; i++)); do
    [ "$i" = 0 ] || echo next
    printf 'url = %s\nheader = "Authorization: Bearer capacity"\noutput = /dev/null\nsilent\nwrite-out = "%%{time_total}\\n"\ndata = "%s"\n' "$1" "$2"
  done >"$site_dir/times"
  curl -K "$site_dir/times" | sort -g | awk '{v[NR] = $1} END {printf "%.2f %.2f\n", 1000 * v[int(NR / 2)], 1000 * v[int(NR * 0.95)]}'
}

hops() {
  local i direct=() one=() direct95=() one95=() pair
  begin 2 0.00001
  for ((i = 0; i < REPEATS; i++)); do
    pair=($(times_of "http://${site_urls_engine// /}/v1/chat/completions" \
      '{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"plan=[{\\\"answer\\\":8}]\"}],\"max_tokens\":64,\"stream\":true,\"request_id\":\"r\",\"program\":\"00000000000000000000000000000001\",\"priority\":1}'))
    direct+=("${pair[0]}")
    direct95+=("${pair[1]}")
    pair=($(times_of "http://$site_http_entry_1/v1/programs" \
      '{\"service\":\"m\",\"input\":\"plan=[{\\\"answer\\\":8}]\"}'))
    one+=("${pair[0]}")
    one95+=("${pair[1]}")
  done
  show hops.engine_alone - "ms, median" "${direct[@]}"
  show hops.engine_alone.p95 - "ms, 95 in 100" "${direct95[@]}"
  show hops.whole_path - "ms, median" "${one[@]}"
  show hops.whole_path.p95 - "ms, 95 in 100" "${one95[@]}"
  site_end
}

[ $# -gt 0 ] || set -- rest calls tokens hops
for part in "$@"; do
  echo "== processes: $part"
  $part
done
trap - EXIT
