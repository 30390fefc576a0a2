# Shell functions that start a small site on loopback addresses: 3 control VMs
# 127.A.B.11 to .13, entry VMs from .21 on, the platform's API at .2, runners from
# .31 on.  Ports are the same on all addresses.  A case sources this file from its
# own folder and sets RECORD, the file of what was sent, answered and run; site_end ends all that was started.
set -u
REVIEW=$(cd .. && pwd)
ROOT=$(cd ../.. && pwd)
TROUBLE=${TROUBLE:-1}
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
FRONT=18221 READY=18224 CONTROL=18229 INTERNAL=17600 RELAY=17615 METRICS=9464 CLOUD=18225 RUNNER=18080
KEY=i9n73hh2b9wu3fexd9dn
WORK=$(mktemp -d)
PIDS=()
trap site_end EXIT
trap 'exit 2' TERM INT
: > "$RECORD"

now() { date +%s%3N; }
say() { echo "$(now) $*" | tee -a "$RECORD"; }

site_end() {
  local status=$?
  trap - EXIT
  [ ${#PIDS[@]} = 0 ] || { kill -CONT "${PIDS[@]}"; kill -9 "${PIDS[@]}"; } 2> /dev/null
  wait 2> /dev/null
  [ -z "${KEEP:-}" ] && rm -rf "$WORK" || echo "kept $WORK"
  exit $status
}

# cannot TEXT...: the case could not run
cannot() {
  say "cannot run: $*"
  exit 2
}

# start NAME PROGRAM ARGUMENT...: starts a process; its id is in PID_NAME
start() {
  local name=$1
  shift
  "$@" > "$WORK/$name.out" 2>&1 &
  PIDS+=($!)
  printf -v "PID_$name" %s $!
}

pid() {
  local name=PID_$1
  echo "${!name}"
}

# settings ROLE NUMBER: what the template of the deploy file gives for a VM
settings() {
  local role=$1 ip=$NET.$2 seeds=$NET.11:$CONTROL,$NET.12:$CONTROL,$NET.13:$CONTROL
  echo '{ "vm": {"name": "'$ip'", "log_name": "'$role-$2'", "failure_domain": "castillos", "region": "rocha"'
  [ $role = entry ] || echo ', "voter": true'
  echo '},'
  [ $role = control ] || echo '"callers": {"address": "'$ip:$FRONT'"},'
  if [ $role = control ]; then
    mkdir -p "$WORK/disk-$2"
    echo '"operators": {"address": "'$ip:$CONTROL'"}, "data": {"folder": "'"$WORK/disk-$2"'"},'
  else
    echo '"operators": {"address": "'$ip:$READY'"},'
  fi
  cat << SETTINGS
  "peers": {"address": "$ip", "port": $INTERNAL, "open": true, "relay_port": $RELAY,
            "shared_key": "briarrack-control-traffic"},
  "metrics": {"address": "$ip:$METRICS"},
  "platform": {"address": "$NET.2:$CLOUD"},
  "site": {"role": "$role", "founding": true, "usage_window_s": 5, "usage_late_s": 10, "grace_s": 8,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "lease_ms": 3000, "disk_losses": 1,
    "duties": "usage,scaling", "control_vms": "$seeds"}
}
SETTINGS
}

# vm ROLE NUMBER: starts a VM with the command of the deploy file
vm() {
  settings "$1" "$2" > "$WORK/$1-$2.json"
  BRIARRACK_SETTINGS="$WORK/$1-$2.json" start "$1_$2" "$ROOT/target/briarrack" serve
}

# list_entry NUMBER SERVICE STATE [FIELD...]: one entry of the platform's list
list_entry() {
  echo '{"Id":"i-'"$1"'","Service":"'"$2"'","Address":"'"$NET.$1:$RUNNER"'","Zone":"castillos","Version":"v1",
  "Slots":64,"State":"'"$3"'","ColdRemainingMs":0'"${4:-}"'}'
}

# list ENTRY...: replaces the platform's list
list() {
  local IFS=,
  echo '{"Instances":['"$*"'],"Next":null}' > "$WORK/list.new"
  mv "$WORK/list.new" "$WORK/list"
}

runner() { start "runner_$1" "$REVIEW/bin/runner" "$NET.$1" $RUNNER "i-$1" "$RECORD"; }

# manifest VERSION ROUTES: prints a manifest with the services engines and ledger
manifest() {
  cat << MANIFEST
{"Version": $1, "Routes": [$2],
 "Services": [
  {"Name": "engines", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
   "Engine": {"Slots": 64, "KvCapacity": 592771, "KvTokenBytes": 163840, "LinkMbps": 260000.0, "Moves": true,
              "Backups": true, "Stride": 6, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0,
              "Models": [{"Name": "m"}]}},
  {"Name": "ledger", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "hule930", "ApiKeys": ["$KEY"], "Priority": 1, "Unit": "tokens", "PlainTokens": 200,
              "RatePerS": 167413, "Burst": 167413}]}
MANIFEST
}

# route NAME PREFIX KIND TIMEOUT SERVICE ATTEMPTS RESUMABLE: one route
route() {
  echo '{"Name":"'"$1"'","Host":"h.example","PathPrefix":"'"$2"'","Kind":"'"$3"'","TimeoutMs":'"$4"',"TargetLatencyMs":500,
  "Priority":1,"Service":"'"$5"'","MaxAttempts":'"$6"',"Public":false,"StickySessions":true,"Resumable":'"$7"',"GapAimMs":500}'
}

# until_ms MS COMMAND...: repeats the command until it succeeds
until_ms() {
  local end=$(($(now) + $1))
  shift
  while [ "$(now)" -lt $end ]; do
    "$@" && return 0
    sleep 0.05
  done
  return 1
}

put() {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -X PUT --data-binary "@$1" \
    "http://$NET.11:$CONTROL/v1/configuration")" = 200 ]
}
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$NET.$1:$READY/readyz")" = 200 ]; }

# site_up ENTRIES MANIFEST: starts the platform's API, 3 control VMs and ENTRIES entry VMs, and puts the
# manifest in force
site_up() {
  local i
  [ -x "$ROOT/target/briarrack" ] || cannot "target/briarrack is not built"
  [ -x "$REVIEW/bin/runner" ] || cannot "review/build.sh has not run"
  start provider "$REVIEW/bin/provider" $NET.2 $CLOUD "$WORK/list" "$RECORD"
  for i in 11 12 13; do vm control $i; done
  for i in $(seq 21 $((20 + $1))); do vm entry $i; done
  until_ms 20000 put "$2" || cannot "the first manifest is not accepted"
  for i in $(seq 21 $((20 + $1))); do until_ms 20000 ready $i || cannot "entry VM $i is not ready"; done
}

# ask ENTRY ID PATH DEADLINE_MS [CURL ARGUMENT...]: sends a request; its answer is in WORK/ID.answer, its head
# in WORK/ID.head, curl's status in WORK/ID.exit (0: the answer is whole)
ask() {
  local entry=$1 id=$2 path=$3 deadline=$4
  shift 4
  echo "$(now) client sends $id $path to entry VM $entry" >> "$RECORD"
  curl -s -N -m $((deadline / 1000 + 2)) -D "$WORK/$id.head" -o "$WORK/$id.answer" -H 'Host: h.example' \
    -H "X-Request-Id: $id" -H "X-Deadline-Ms: $deadline" -H "Authorization: Bearer $KEY" -H 'X-Model: m' \
    -H 'X-Token-Count: 60,40' "$@" "http://$NET.$entry:$FRONT$path"
  echo $? > "$WORK/$id.exit"
  echo "$(now) client has $id: status $(status "$id"), curl $(cat "$WORK/$id.exit")," \
    "$(grep -c '^id:' "$WORK/$id.answer" 2> /dev/null) events" >> "$RECORD"
}

status() { sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$WORK/$1.head" 2> /dev/null; }
runs() { grep -c " runs $1 " "$RECORD"; }
