# Starts a small site of mimosaquay with its stand-ins; sourced by demo.sh.
#
# site_begin NAME; site_engines N MODEL; site_service NAME N;
# site_target HOST DATA_CENTRE WORKER…; site_entry HOST DATA_CENTRE;
# site_apply TEXT; site_ready; site_end.  Addresses are in site_* variables.

site_entry_pids=
site_target_pids=
site_standin_pids=
site_dir=
site_key=$(printf 'demo%060d' 0 | tr 'demo' '0123')
operator_key=demo-operator

# Waits for lines of a started program that tell an address: "listening
# ADDRESS" of a stand-in, the event "listening" of a daemon's log.
site_wait_line() {
  local file=$1 count=$2 tries=0
  while [ "$(grep -c '^listening\|"event":"listening"' "$file")" -lt "$count" ]; do
    tries=$((tries + 1))
    if [ "$tries" -gt 600 ]; then
      echo "no answer from the program of $file" >&2
      cat "${file%.out}.err" >&2
      return 1
    fi
    sleep 0.05
  done
}

site_start() { # NAME PROGRAM ARGUMENTS…
  local name=$1
  shift
  # Both are there before anybody looks for a line in them.
  : >"$site_dir/$name.out" 2>"$site_dir/$name.err"
  "$@" >"$site_dir/$name.out" 2>"$site_dir/$name.err" &
  case $1 in
  */mimosa-entryd) site_entry_pids="$site_entry_pids $!" ;;
  */mimosa-targetd) site_target_pids="$site_target_pids $!" ;;
  *) site_standin_pids="$site_standin_pids $!" ;;
  esac
  eval "site_pid_${name//-/_}=$!"
}

site_begin() {
  site_dir=$(mktemp -d)
  site_entry_pids=
  site_target_pids=
  site_standin_pids=
  site_bin=${BUILD:-build}/bin
  site_operator_hash=$(printf '%s' "$operator_key" | "$site_bin/mimosactl" hash-key)
  printf '%s' "$operator_key" >"$site_dir/operator.key"
  site_start platform "$site_bin/standin-platform" --listen 127.0.0.1:0
  site_wait_line "$site_dir/platform.out" 1
  site_platform=$(sed -n 's/^listening //p' "$site_dir/platform.out")
  export MIMOSA_PLATFORM=http://$site_platform
  export MIMOSA_OPERATOR_KEY_FILE=$site_dir/operator.key
}

site_engines() { # NAME COUNT MODEL [OPTION…]: addresses in site_urls_NAME
  local name=$1 count=$2 model=$3 listen=() i
  shift 3
  for ((i = 0; i < count; i++)); do listen+=(--listen 127.0.0.1:0); done
  site_start "$name" "$site_bin/standin-engine" "${listen[@]}" --model "$model" "$@"
  site_wait_line "$site_dir/$name.out" "$count"
  eval "site_urls_${name//-/_}='$(sed -n 's/^listening //p' "$site_dir/$name.out" | tr '\n' ' ')'"
}

site_service() { # NAME COUNT [OPTION…]
  local name=$1 count=$2 listen=() i
  shift 2
  for ((i = 0; i < count; i++)); do listen+=(--listen 127.0.0.1:0); done
  site_start "$name" "$site_bin/standin-service" "${listen[@]}" --name "$name" "$@"
  site_wait_line "$site_dir/$name.out" "$count"
  eval "site_urls_${name//-/_}='$(sed -n 's/^listening //p' "$site_dir/$name.out" | tr '\n' ' ')'"
}

site_settings() { # HOST DATA_CENTRE ROLE
  cat <<EOF
[process]
host = $1
data_centre = $2
http = 127.0.0.1:0
peer = 127.0.0.1:0
platform = http://$site_platform
site_key = $site_key
operator_key_sha256 = $site_operator_hash
drain_seconds = 20
EOF
  # For comparisons: site_policy and site_commit of entry hosts, site_order
  # of targets.
  case $3 in
  entry)
    [ -z "${site_policy:-}" ] || echo "policy = $site_policy"
    [ -z "${site_commit:-}" ] || echo "commit = $site_commit"
    ;;
  target)
    [ -z "${site_order:-}" ] || echo "order = $site_order"
    ;;
  esac
}

site_list_host() { # HOST ROLE DATA_CENTRE
  local out=$site_dir/$1.out
  local http peer
  site_wait_line "$out" 1
  http=$(sed -n 's/.*"event":"listening".*"http":"\([^"]*\)".*/\1/p' "$out")
  peer=$(sed -n 's/.*"event":"listening".*"peer":"\([^"]*\)".*/\1/p' "$out")
  eval "site_http_${1//-/_}=$http"
  curl -sf -X POST "$MIMOSA_PLATFORM/standin/hosts" -d "{\"name\":\"$1\",\"role\":\"$2\",\"data_centre\":\"$3\",\"region\":\"main\",\"address\":\"$peer\",\"http\":\"$http\",\"leaving\":false}" >/dev/null
}

# A WORKER is SERVICE:KIND:URL[:MODEL]; the URL is IP_PORT with "_".
site_target() { # HOST DATA_CENTRE WORKER…
  local host=$1 data_centre=$2 n=0 worker service kind address model
  shift 2
  site_settings "$host" "$data_centre" target >"$site_dir/$host.ini"
  for worker in "$@"; do
    IFS=, read -r service kind address model <<<"$worker"
    n=$((n + 1))
    {
      printf '\n[worker w%d]\nservice = %s\nkind = %s\nurl = http://%s\nslots = 8\n' "$n" "$service" "$kind" "$address"
      [ -z "$model" ] || printf 'model = %s\ncache_tokens = 60000\n' "$model"
    } >>"$site_dir/$host.ini"
  done
  site_start "$host" "$site_bin/mimosa-targetd" --settings "$site_dir/$host.ini"
  site_list_host "$host" target "$data_centre"
}

site_entry() { # HOST DATA_CENTRE
  site_settings "$1" "$2" entry >"$site_dir/$1.ini"
  site_start "$1" "$site_bin/mimosa-entryd" --settings "$site_dir/$1.ini"
  site_list_host "$1" entry "$2"
}

site_apply() { # TEXT
  "$site_bin/mimosactl" apply "$1" --base 0 --wait 0
}

site_ready() { # HTTP address of each host that must be ready
  local address tries
  for address in "$@"; do
    tries=0
    until curl -sf -m 2 "http://$address/readyz" >/dev/null; do
      tries=$((tries + 1))
      if [ "$tries" -gt 400 ]; then
        echo "$address is not ready" >&2
        return 1
      fi
      sleep 0.05
    done
  done
}

site_stop() { # PID…
  local pid
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}

# Stops everything in the order of a planned stop: entry hosts, targets, then
# the stand-ins.  Only processes that were started here.
site_end() {
  # shellcheck disable=SC2086
  {
    site_stop $site_entry_pids
    site_stop $site_target_pids
    site_stop $site_standin_pids
  }
  site_entry_pids=
  site_target_pids=
  site_standin_pids=
  [ -n "${KEEP_LOGS:-}" ] || rm -rf "$site_dir"
}
