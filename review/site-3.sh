# Shell functions of cases 11 to 15: a small site on loopback, started with the
# commands of the deploy file.  Three control VMs 127.0.31.1 to .3, one entry VM
# 127.0.32.1, and on 127.0.0.1 the platform's API, two model servers of service
# llm and two servers of service ledger.  The settings are those that
# platform/settings.json.tmpl gives at the deployment alcornoque-rocha; the
# limits that a process takes there from its machine (260 MB, 4,100 descriptors)
# stand in them as numbers, as this machine is larger.
#
# CASE is the case's folder, whose run.sh sends the output to record.txt, TROUBLE 0 or 1, LLM_MODE the mode of the model
# servers.

TROUBLE=${TROUBLE:-1}

# Ends the script after 110 seconds.
[ -n "${SITE_GUARDED:-}" ] || exec env SITE_GUARDED=1 timeout -k 5 110 bash "$CASE/run.sh"

ROOT=$(cd "$CASE/../.." && pwd)
STAND_INS=$ROOT/target/review-3
SITE=$(mktemp -d)
PIDS=()
KEY=harvest-key-0001

site_stop() {
  local status=$?
  exec 2> /dev/null
  kill -9 "${PIDS[@]}" 2> /dev/null
  wait 2> /dev/null
  rm -rf "$SITE"
  exit "$status"
}
trap site_stop EXIT
trap 'exit 2' TERM INT

could_not_run() {
  echo "could not run: $*"
  tail -n 5 "$SITE"/*.out
  exit 2
}

# start NAME PROGRAM [ARGUMENT...]
start() {
  local name=$1
  shift
  (cd "$ROOT" && exec "$@") > "$SITE/$name.out" 2>&1 &
  PIDS+=($!)
  eval "PID_$name=$!"
}

# settings ROLE NUMBER: prints a process's settings
settings() {
  local ip=127.0.$([ "$1" = control ] && echo 31 || echo 32).$2 own=
  if [ "$1" = control ]; then
    mkdir -p "$SITE/disk-$2"
    own="\"data\": {\"folder\": \"$SITE/disk-$2\"},"
  else
    own="\"callers\": {\"address\": \"$ip:$BASE\", \"held_bytes_max\": 81788928,
      \"connections_max\": 2050, \"silent_connections_max\": 1025},"
  fi
  cat << SETTINGS
{"vm": {"name": "$ip", "log_name": "$1-$2", "failure_domain": "castillos", "region": "rocha"
        $([ "$1" = control ] && echo ', "voter": true')},
 $own
 "operators": {"address": "$ip:$((BASE + 1))"},
 "peers": {"address": "$ip", "port": $((BASE + 2)), "open": true,
           "relay_port": $((BASE + 3)), "shared_key": "briarrack-control-traffic"},
 "metrics": {"address": "$ip:$((BASE + 4))"},
 "platform": {"address": "127.0.0.1:$((BASE + 5))"},
 "site": {"role": "$1", "founding": true, "usage_window_s": 5, "usage_late_s": 10,
          "grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54,
          "lease_ms": 3000, "disk_losses": 1, "duties": "usage,scaling",
          "control_vms": "127.0.31.1:$((BASE + 1)),127.0.31.2:$((BASE + 1)),127.0.31.3:$((BASE + 1))"}}
SETTINGS
}

# process ROLE NUMBER: starts a process of the site
process() {
  settings "$1" "$2" > "$SITE/$1-$2.json"
  start "$1$2" env "BRIARRACK_SETTINGS=$SITE/$1-$2.json" target/briarrack serve
}

manifest() {
  cat << MANIFEST
{"Version": 1, "Routes": [
 {"Name": "chat", "Host": "h.example", "PathPrefix": "/chat/", "Kind": "streaming",
  "TimeoutMs": 12000, "TargetLatencyMs": 500, "Priority": 0, "Service": "llm",
  "MaxAttempts": 1, "Public": false, "StickySessions": true, "Resumable": false, "GapAimMs": 500},
 {"Name": "pay", "Host": "h.example", "PathPrefix": "/pay/", "Kind": "non_idempotent",
  "TimeoutMs": 1000, "TargetLatencyMs": 120, "Priority": 2, "Service": "ledger",
  "MaxAttempts": 1, "Public": false},
 {"Name": "look", "Host": "h.example", "PathPrefix": "/look/", "Kind": "idempotent",
  "TimeoutMs": 1000, "TargetLatencyMs": 120, "Priority": 2, "Service": "ledger",
  "MaxAttempts": 2, "Public": false}],
 "Services": [
 {"Name": "llm", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
  "Engine": {"Slots": 64, "KvCapacity": 592771, "KvTokenBytes": 163840, "LinkMbps": 260000.0,
             "Moves": true, "Backups": true, "Stride": 6, "most": 12, "PinMs": 4000.0,
             "HoldMs": 2000.0, "HandleS": 5.0, "Models": [{"Name": "m"}]}},
 {"Name": "ledger", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "alcornocales", "ApiKeys": ["$KEY"], "Priority": 1, "Unit": "tokens",
              "PlainTokens": 200, "RatePerS": 167413, "Burst": 167413}]}
MANIFEST
}

# http STATUS TIMES URL [CURL ARGUMENT...]: repeats a call until it gets STATUS
http() {
  local status=$1 i got
  for i in $(seq "$2"); do
    got=$(curl -s -m 2 -o /dev/null -w '%{http_code}' "${@:3}")
    [ "$got" = "$status" ] && return 0
    sleep 0.1
  done
  return 1
}

# Starts the site, puts the manifest in force and waits until the entry VM is ready.
site_up() {
  local i
  [ -x "$ROOT/target/briarrack" ] && [ -x "$STAND_INS/callers" ] ||
    could_not_run "target/briarrack and the stand-ins are not built"
  BASE=$("$STAND_INS/callers" port) || could_not_run "no free ports"
  echo "TROUBLE=$TROUBLE, ports from $BASE"
  start platform "$STAND_INS/platform" $((BASE + 5)) \
    "r1,llm,$((BASE + 6)),64${LLM_MODE:-}" "r2,llm,$((BASE + 7)),64${LLM_MODE:-}" \
    "p1,ledger,$((BASE + 8)),6" "p2,ledger,$((BASE + 9)),6"
  for i in 1 2 3; do process control "$i"; done
  process entry 1
  manifest > "$SITE/manifest.json"
  http 200 100 "http://127.0.31.1:$((BASE + 1))/v1/configuration" -X PUT \
    --data-binary "@$SITE/manifest.json" || could_not_run "the manifest has no ack"
  http 200 100 "http://127.0.32.1:$((BASE + 1))/readyz" || could_not_run "the entry VM is not ready"
  # ContactMs, so that all machines are in touch.
  sleep 3
  echo "the site is up"
}

# Runs the callers and ends the script with their verdict.
judge() {
  local verdict
  timeout 80 "$STAND_INS/callers" "$@"
  verdict=$?
  kill -0 "$PID_entry1" 2> /dev/null || { echo "the entry VM has ended"; verdict=1; }
  echo "requests that ran:"
  grep -c ' run ' "$SITE/platform.out"
  grep ' run ' "$SITE/platform.out" | tail -n 20
  case $verdict in
    0) echo "verdict: the rule held" ;;
    1) echo "verdict: the rule was broken" ;;
    *) echo "verdict: could not run ($verdict)"; verdict=2 ;;
  esac
  exit "$verdict"
}
