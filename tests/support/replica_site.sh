# Shell functions for tests of the replicated log: three voters and one VM
# without a disk that proposes commands.  Source this file with BUILD and
# BASE_PORT set; it sources site.sh.  Voter I listens for peers on
# BASE_PORT + 20 + I.  PEER_PORT_I_J, if set, is the port at which VM I connects
# to VM J instead (through a relay).
. "$(dirname "${BASH_SOURCE[0]}")/site.sh"

LOG_VMS=(log-0 log-1 log-2 client)

# Prints the settings of VM number $1 (3: the one that proposes).
log_settings() {
  local i=$1 j peers= port name voter
  for j in 0 1 2 3; do
    [ "$j" = "$i" ] && continue
    name=PEER_PORT_${i}_$j
    port=${!name:-$((BASE_PORT + 20 + j))}
    voter=true
    [ "$j" = 3 ] && voter=false
    peers+="${peers:+,}{\"name\":\"${LOG_VMS[j]}\",
      \"failure_domain\":\"castillos\",\"address\":\"127.0.0.1\",
      \"port\":$port,\"voter\":$voter}"
  done
  voter=true
  [ "$i" = 3 ] && voter=false
  cat << EOF
{
  "vm": {"name": "${LOG_VMS[i]}", "failure_domain": "castillos",
         "voter": $voter},
  "callers": {"address": "127.0.0.1", "port": $((BASE_PORT + i))},
  "operators": {"address": "127.0.0.1", "port": $((BASE_PORT + 10 + i))},
  "peers": {"address": "127.0.0.1", "port": $((BASE_PORT + 20 + i)),
            "shared_key": "0123456789abcdef", "vms": [$peers]},
  "drain": {"notice_ms": 100}
  $([ "$i" = 3 ] || echo ", \"data\": {\"folder\": \"$SITE/data-$i\"}")
}
EOF
}

# Starts voter number $1.
log_start() {
  mkdir -p "$SITE/data-$1"
  log_settings "$1" > "$SITE/log-$1.json"
  site_start "log-$1" "$BUILD/briarrack" serve "$SITE/log-$1.json"
}

# Ends voter number $1 with signal $2 and waits for it.
log_kill() {
  local pid
  pid=$(site_pid "log-$1")
  kill "-$2" "$pid"
  wait "$pid" 2> /dev/null
}

# Prints field $2 of the replica's status on voter $1.
log_field() {
  curl -s --max-time 1 "http://127.0.0.1:$((BASE_PORT + 10 + $1))/v1/status" |
    sed -n 's/.*"replica":\({.*\),"members".*/\1/p' |
    sed -n "s/.*\"$2\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

log_role() {
  curl -s --max-time 1 "http://127.0.0.1:$((BASE_PORT + 10 + $1))/v1/status" |
    sed -n 's/.*"replica":{"role":"\([a-z-]*\)".*/\1/p'
}

# Waits for a leader other than $1 and prints its number.
log_leader() {
  local i _
  for _ in $(seq 200); do
    for i in 0 1 2; do
      [ "$i" = "${1:-}" ] && continue
      [ "$(log_role $i)" = leader ] && echo "$i" && return 0
    done
    sleep 0.05
  done
  return 1
}

# Proposes $1 commands, $2 at a time.  Writes the outcomes to $SITE/$3.txt and
# prints the last line, the summary.
log_propose() {
  log_settings 3 > "$SITE/client.json"
  "$BUILD/replica_bench" "$SITE/client.json" "$1" "$2" > "$SITE/$3.txt" \
    2> "$SITE/client-$3.log"
  tail -n 1 "$SITE/$3.txt"
}

# Waits until the voters $@ have the same applied index.
log_wait_equal() {
  local _ i indexes
  for _ in $(seq 200); do
    indexes=$(for i in "$@"; do log_field "$i" applied; done | sort -u)
    [ "$(wc -l <<< "$indexes")" = 1 ] && [ -n "$indexes" ] && return 0
    sleep 0.05
  done
  return 1
}
