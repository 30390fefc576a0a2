# Shell functions of the cases 6 to 10: a small site on loopback with the settings that
# platform/settings.json.tmpl gives.  Set CASE (the folder of the case) and RECORD (its
# record.txt) before sourcing it.
# All addresses are on the loopback network; ports begin at BASE.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=$ROOT/target/review-2
PROGRAM="$ROOT/target/briarrack serve"
KEY=i9n73hh2b9wu3fexd9dn
PIDS=()

now() { date +%s%3N; }

note() { echo "$(($(now) - STARTED)) ms  $*" >> "$RECORD"; }

finish() {
  note "result: $2"
  echo "$2"
  exit "$1"
}

site_begin() {
  STARTED=$(now)
  : > "$RECORD"
  SITE=$(mktemp -d)
  trap site_end EXIT
  trap 'exit 2' TERM INT
  [ -x "$ROOT/target/briarrack" ] && [ -x "$BIN/forward" ] || finish 2 "not built"
  BASE=$(free_ports) || finish 2 "no free ports"
}

site_end() {
  kill -CONT "${PIDS[@]}" 2> /dev/null
  kill -9 "${PIDS[@]}" 2> /dev/null
  wait 2> /dev/null
  [ -n "${KEEP:-}" ] && echo "kept: $SITE" || rm -rf "$SITE"
}

# Prints the first of 60 ports below the ephemeral ones of which none is in use.
free_ports() {
  local base port used
  used=$(cat /proc/net/tcp | awk 'NR > 1 { split($2, a, ":"); print a[2] }' |
    while read -r port; do echo $((16#$port)); done | sort -nu)
  for base in $(seq 21000 100 31000); do
    echo "$used" | awk -v b="$base" '$1 >= b && $1 < b + 60 { bad = 1 } END { exit bad }' &&
      echo "$base" && return 0
  done
  return 1
}

# start NAME PROGRAM [ARGUMENT...]
start() {
  local name=$1
  shift
  "$@" > "$SITE/$name.out" 2> "$SITE/$name.err" &
  PIDS+=($!)
  eval "PID_$name=$!"
}

pid() {
  local name=PID_$1
  echo "${!name}"
}

# settings ROLE NUMBER ZONE PEERS_PORT [FOUNDING]: as the template gives them.  Control VMs are
# 127.0.31.N, entry VMs 127.0.32.N.
settings() {
  local ip=127.0.31.$2 i seeds=
  [ "$1" = entry ] && ip=127.0.32.$2
  for i in 1 2 3; do seeds="$seeds${seeds:+,}127.0.31.$i:$((BASE + 1))"; done
  echo "{\"vm\": {\"name\": \"$ip\", \"log_name\": \"$1-$2\", \"failure_domain\": \"$3\", \"region\": \"sk-west\""
  [ "$1" = control ] && echo ', "voter": true'
  echo '},'
  [ "$1" = entry ] && echo "\"callers\": {\"address\": \"$ip:$BASE\"},"
  echo "\"operators\": {\"address\": \"$ip:$((BASE + 1))\"},
 \"peers\": {\"address\": \"$ip\", \"port\": $4, \"open\": true, \"relay_port\": $((BASE + 4)),
  \"shared_key\": \"briarrack-control-traffic\"},
 \"metrics\": {\"address\": \"$ip:9464\"}, \"platform\": {\"address\": \"127.0.0.1:$((BASE + 5))\"},"
  if [ "$1" = control ]; then
    mkdir -p "$SITE/disk-$2"
    echo "\"data\": {\"folder\": \"$SITE/disk-$2\"},"
  fi
  echo "\"site\": {\"role\": \"$1\", ${5:+\"founding\": $5,} \"usage_window_s\": 5, \"usage_late_s\": 10,
  \"grace_s\": 8.0, \"retry_ratio\": 0.2, \"retry_window_s\": 10, \"retry_slack\": 52, \"lease_ms\": 3000,
  \"disk_losses\": 1, \"duties\": \"usage,scaling\", \"control_vms\": \"$seeds\"}}"
}

# put CONTROL FILE: sends a manifest; prints the status
put() {
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X PUT -H 'Content-Type: application/json' \
    --data-binary "@$2" "http://127.0.31.$1:$((BASE + 1))/v1/configuration"
}

ready() {
  [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.32.$1:$((BASE + 1))/readyz")" = 200 ]
}

# wait_for MS COMMAND...
wait_for() {
  local until=$(($(now) + $1))
  shift
  while [ "$(now)" -lt "$until" ]; do
    "$@" && return 0
    sleep 0.05
  done
  return 1
}
