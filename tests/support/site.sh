# Shell functions that start a small site on loopback: three entry VMs in two
# failure domains, two fake engines and one fake plain service.  Set BUILD (the
# build folder) and BASE_PORT before sourcing it.  site_stop ends everything
# that was started; it runs when the script exits, or after SITE_SECONDS.
#
# Ports: BASE+0..2 callers, BASE+10..12 operators, BASE+20..22 peers,
# BASE+30.. engines, BASE+40 plain service, BASE+49.. the relay between the
# VMs, if SITE_RELAY is set.

SITE_SECONDS=${SITE_SECONDS:-100}
SITE_VMS=(castillos-1 castillos-2 lascano-1)
SITE_DOMAINS=(castillos castillos lascano)
SITE_KEY=harvest-key-0001
SITE_PIDS=()

site_init() {
  SITE=$(mktemp -d)
  # Two checkouts that are tested at the same time use the same ports; the lock
  # makes the second wait.
  exec 9> "${TMPDIR:-/tmp}/briarrack-ports-$BASE_PORT.lock"
  flock 9
  trap site_stop EXIT
  trap 'exit 1' TERM
  # Terminates the script, and with it the site, after SITE_SECONDS.
  (sleep "$SITE_SECONDS" & trap 'kill $!; exit' TERM; wait $!; kill -TERM $$) \
    2> /dev/null &
  SITE_WATCHDOG=$!
}

# Starts a program in the background: site_start NAME PROGRAM [ARGUMENT...]
site_start() {
  local name=$1 before=PID_${1//[-.]/_} i
  shift
  # Waits for an earlier process of that name, which may still be exiting.
  for i in $(seq 100); do
    [ -n "${!before:-}" ] && kill -0 "${!before}" 2> /dev/null || break
    sleep 0.05
  done
  "$@" > "$SITE/$name.out" 2> "$SITE/$name.log" &
  SITE_PIDS+=($!)
  eval "PID_${name//[-.]/_}=$!"
}

# Prints the process id of a started program.
site_pid() {
  local name=PID_${1//[-.]/_}
  echo "${!name}"
}

# Kills the named programs with SIGKILL and waits until they have exited, which
# frees their ports and data folders.
site_kill() {
  local name
  for name in "$@"; do kill -9 "$(site_pid "$name")"; done
  for name in "$@"; do wait "$(site_pid "$name")"; done
}

# Copies the site's folder below the folder SITE_KEEP_FAILED, if that is set.
site_keep_failed() {
  local kept
  [ -n "${SITE_KEEP_FAILED:-}" ] || return 0
  mkdir -p "$SITE_KEEP_FAILED" &&
    kept=$(mktemp -d "$SITE_KEEP_FAILED/$(basename "$0" .sh).XXXXXX") &&
    cp -R "$SITE/." "$kept" && echo "the site's logs are kept in $kept" >&2
}

# Kills all started processes by their ids and removes the site's folder, unless
# SITE_KEEP is set.  Keeps a copy of it if the script fails.
site_stop() {
  local status=$?
  kill "$SITE_WATCHDOG" 2> /dev/null
  kill -CONT "${SITE_PIDS[@]}" 2> /dev/null
  kill -9 "${SITE_PIDS[@]}" 2> /dev/null
  wait 2> /dev/null
  [ "$status" = 0 ] || site_keep_failed
  [ -n "${SITE_KEEP:-}" ] || rm -rf "$SITE"
}

# Prints the port that VM number $1 connects to for VM number $2: the VM's own,
# or the relay's if SITE_RELAY is set.
site_peer_port() {
  if [ -n "${SITE_RELAY:-}" ]; then
    echo $((BASE_PORT + 50 + $1 * 3 + $2))
  else
    echo $((BASE_PORT + 20 + $2))
  fi
}

# Starts the relay between the VMs.  Link number FROM * 3 + TO carries the
# connections from VM FROM to VM TO.  The control port is BASE+49.  SITE_RELAY
# must be set.
site_start_relay() {
  local i j links=()
  for i in 0 1 2; do
    for j in 0 1 2; do
      links+=(--link $((BASE_PORT + 50 + i * 3 + j)):$((BASE_PORT + 20 + j)))
    done
  done
  site_start relay "$BUILD/fake_relay" --control $((BASE_PORT + 49)) \
    "${links[@]}"
}

# Sends a command to the relay: site_relay LINK COMMAND
site_relay() {
  curl -sSf --max-time 5 -X POST -d '' \
    "http://127.0.0.1:$((BASE_PORT + 49))/links/$1/$2"
}

# Sends the relay command ${2:-cut} for all links from and to VM number $1:
# "cut" cuts the VM off from the others, "open" reconnects it.
site_cut_off() {
  local j command=${2:-cut}
  for j in 0 1 2; do
    [ "$j" = "$1" ] && continue
    site_relay $(($1 * 3 + j)) "$command"
    site_relay $((j * 3 + $1)) "$command"
  done
}

# Prints the settings of VM number $1, with the JSON members $2 added.
site_settings() {
  local i=$1 j peers=
  for j in 0 1 2; do
    [ "$j" = "$i" ] && continue
    peers+="${peers:+,}{\"name\":\"${SITE_VMS[j]}\",
      \"failure_domain\":\"${SITE_DOMAINS[j]}\",\"address\":\"127.0.0.1\",
      \"port\":$(site_peer_port "$i" "$j"),\"voter\":true}"
  done
  cat << EOF
// Settings of ${SITE_VMS[i]}.
{
  "vm": {"name": "${SITE_VMS[i]}", "failure_domain": "${SITE_DOMAINS[i]}",
         "voter": true},
  "callers": {"address": "127.0.0.1", "port": $((BASE_PORT + i))},
  "operators": {"address": "127.0.0.1", "port": $((BASE_PORT + 10 + i))},
  "peers": {"address": "127.0.0.1", "port": $((BASE_PORT + 20 + i)),
            "shared_key": "0123456789abcdef", "vms": [$peers]},
  "data": {"folder": "$SITE/data-${SITE_VMS[i]}"},
  "drain": {"notice_ms": ${SITE_NOTICE_MS:-200},
            "grace_ms": ${SITE_GRACE_MS:-0}},
  "upstreams": [
    {"name": "e1", "failure_domain": "castillos", "address": "127.0.0.1",
     "port": $((BASE_PORT + 30)), "labels": {"model": "contract-lm"}},
    {"name": "e2", "failure_domain": "lascano", "address": "127.0.0.1",
     "port": $((BASE_PORT + 31)), "labels": {"model": "contract-lm"}},
    {"name": "ledger-1", "failure_domain": "castillos",
     "address": "127.0.0.1", "port": $((BASE_PORT + 40)),
     "labels": {"app": "ledger"}}
  ]${2:+, $2}
}
EOF
}

# Prints the declarations of the site.
site_declarations() {
  local digest
  digest=$(printf %s "$SITE_KEY" | sha256sum | cut -d ' ' -f 1)
  cat << EOF
[
  {"kind": "service", "name": "contract-lm", "selector": "model=contract-lm"},
  {"kind": "service", "name": "ledger", "answers": "plain",
   "selector": "app=ledger", "repeatable": false},
  {"kind": "organisation", "name": "alcornocales",
   "selector": "org=alcornocales"},
  {"kind": "workload", "name": "contract-drafts",
   "key_digest": "sha256:$digest", "labels": {"org": "alcornocales"}}
]
EOF
}

# Waits until URL answers: site_wait URL
site_wait() {
  local i
  for i in $(seq 100); do
    curl -sf -o /dev/null --max-time 1 "$1" && return 0
    sleep 0.05
  done
  echo "nothing answers at $1" >&2
  return 1
}

# Starts fake engine number $1; more of its options may follow.
site_start_engine() {
  local number=$1
  shift
  site_start "e$number" "$BUILD/fake_engine" --name "e$number" \
    --port $((BASE_PORT + 29 + number)) "$@"
}

# Starts VM number $1, with the JSON members $2 added to its settings.
site_start_vm() {
  local i=$1
  mkdir -p "$SITE/data-${SITE_VMS[i]}"
  site_settings "$i" "${2:-}" > "$SITE/${SITE_VMS[i]}.json"
  site_start "${SITE_VMS[i]}" "$BUILD/briarrack" serve \
    "$SITE/${SITE_VMS[i]}.json"
}

# Starts everything and waits until the declarations are in force.  The
# arguments are options of the fake engines.
site_up() {
  local i
  [ -n "${SITE_RELAY:-}" ] && site_start_relay
  site_start_engine 1 "$@"
  site_start_engine 2 "$@"
  site_start ledger-1 "$BUILD/fake_service" --name ledger-1 \
    --port $((BASE_PORT + 40)) ${SITE_LEDGER_ARGS:-}
  for i in 0 1 2; do site_start_vm "$i"; done
  for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
  site_wait "http://127.0.0.1:$((BASE_PORT + 30))/health"
  site_wait "http://127.0.0.1:$((BASE_PORT + 31))/health"
  site_wait "http://127.0.0.1:$((BASE_PORT + 40))/health"
  site_declarations > "$SITE/declarations.json"
  site_apply "$SITE/declarations.json"
}

# Applies the declarations of file $1 through VM number ${2:-0} and waits until
# every running VM has their revision in force.
site_apply() {
  local out revision
  out=$("$BUILD/briarrack" apply --json \
    --server "127.0.0.1:$((BASE_PORT + 10 + ${2:-0}))" "$1") || return 1
  revision=$(grep -o '"revision":[0-9]*' <<< "$out" | cut -d : -f 2)
  site_wait_revision "$revision"
}

# Prints the revision that VM number $1 has in force, or nothing if the VM does
# not answer.
site_revision() {
  curl -sf --max-time 1 "http://127.0.0.1:$((BASE_PORT + 10 + $1))/v1/status" |
    grep -o '"revision":[0-9]*' | head -n 1 | cut -d : -f 2
}

# Waits until every running VM has revision $1 or a later one in force.
site_wait_revision() {
  local i n behind
  for n in $(seq 200); do
    behind=
    for i in 0 1 2; do
      kill -0 "$(site_pid "${SITE_VMS[i]}")" 2> /dev/null || continue
      [ "$(site_revision "$i")" -ge "$1" ] 2> /dev/null || behind+=" $i"
    done
    [ -z "$behind" ] && return 0
    sleep 0.05
  done
  echo "revision $1 is not in force on VMs$behind" >&2
  return 1
}

# Requests a completion from VM number $1 with the JSON body $2; more curl
# options may follow.
site_complete() {
  local vm=$1 body=$2
  shift 2
  curl -sS -N --max-time 30 -H "Authorization: Bearer $SITE_KEY" \
    -H 'Content-Type: application/json' "$@" -d "$body" \
    "http://127.0.0.1:$((BASE_PORT + vm))/v1/chat/completions"
}

# Calls the plain service through VM number $1 with idempotency key $2 and body
# $3; more curl options may follow.
site_call() {
  local vm=$1 key=$2 body=$3
  shift 3
  curl -sS --max-time 30 -H "Authorization: Bearer $SITE_KEY" \
    -H "Idempotency-Key: $key" -H 'Content-Type: application/json' "$@" \
    -d "$body" "http://127.0.0.1:$((BASE_PORT + vm))/services/ledger/orders"
}

# Prints a message and the ends of all logs, and fails the test.
site_fail() {
  echo "FAIL: $*" >&2
  for log in "$SITE"/*.log; do
    echo "== $log" >&2
    tail -n 20 "$log" >&2
  done
  exit 1
}
