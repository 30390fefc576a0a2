# Tests the replicated log under faults: the leader is frozen beyond its
# election timeout and resumed, a voter is cut off in both directions and then
# in one, a disk is wiped, a data folder is damaged, and a leader is stopped
# with SIGTERM.
# Usage: replica_freeze.sh BUILD
set -u
BUILD=$1
BASE_PORT=22100
. "$(dirname "$0")/../support/replica_site.sh"
site_init

# All links between voters go through the relay.  The link from I to J has port
# BASE_PORT + 50 + 3 * I + J; links are numbered in the order of the loops.
RELAY=$((BASE_PORT + 49))
links=()
for i in 0 1 2; do
  for j in 0 1 2; do
    [ $i = $j ] && continue
    links+=(--link "$((BASE_PORT + 50 + 3 * i + j)):$((BASE_PORT + 20 + j))")
    declare "PEER_PORT_${i}_$j=$((BASE_PORT + 50 + 3 * i + j))"
    declare "LINK_${i}_$j=$((${#links[@]} / 2 - 1))"
  done
done
relay() {
  local name=LINK_${1}_$2
  curl -sf --max-time 2 -X POST -o /dev/null \
    "http://127.0.0.1:$RELAY/links/${!name}/$3" || site_fail "relay $*"
}
isolate() {
  local j
  for j in 0 1 2; do
    [ "$j" = "$1" ] && continue
    relay "$1" "$j" "$2"
    relay "$j" "$1" "$2"
  done
}

site_start relay "$BUILD/fake_relay" --control $RELAY "${links[@]}"
sleep 0.2
for i in 0 1 2; do log_start $i; done
leader=$(log_leader) || site_fail "no first leader"
log_propose 50 4 first > /dev/null
grep -q '^committed=50 ' "$SITE/first.txt" ||
  site_fail "first: not all proposals were committed"

# A leader that was frozen and resumed must move to a newer term.
term=$(log_field "$leader" term)
kill -STOP "$(site_pid "log-$leader")"
next=$(log_leader "$leader") || site_fail "no leader other than the frozen one"
log_propose 50 4 frozen > /dev/null
grep -q '^committed=50 ' "$SITE/frozen.txt" ||
  site_fail "frozen: not all proposals were committed"
kill -CONT "$(site_pid "log-$leader")"
log_wait_equal 0 1 2 || site_fail "not equal after the freeze"
[ "$(log_field "$leader" term)" -gt "$term" ] ||
  site_fail "the frozen VM is still in term $term"

# The leader is cut off in both directions: the others elect a new leader, and
# the old one steps down after its election timeout.
leader=$(log_leader) || site_fail "no leader before the cut"
isolate "$leader" cut
next=$(log_leader "$leader") || site_fail "no leader other than the cut-off one"
sleep 1.5
[ "$(log_role "$leader")" != leader ] || site_fail "the cut-off VM still leads"
isolate "$leader" open
log_wait_equal 0 1 2 || site_fail "not equal after the cut"

# Messages from the leader to one voter are lost.
leader=$(log_leader) || site_fail "no leader before the one-way cut"
other=$(((leader + 1) % 3))
relay "$leader" "$other" cut-to
log_propose 50 4 oneway > /dev/null
grep -q ' committed ' "$SITE/oneway.txt" ||
  site_fail "nothing was committed during the one-way cut"
relay "$leader" "$other" open
log_wait_equal 0 1 2 || site_fail "not equal after the one-way cut"

# Waits until VM $1, which has lost its disk, is a voter again.
wait_vote() {
  local _
  for _ in $(seq 100); do
    [ "$(log_role "$1")" = follower ] && return 0
    sleep 0.05
  done
  return 1
}

# A voter with a wiped disk rejoins with a new disk identity and is promoted.
leader=$(log_leader) || site_fail "no leader before the wipe"
lost=$(((leader + 1) % 3))
disk=$(log_field "$lost" disk)
log_kill "$lost" KILL
rm -rf "$SITE/data-$lost"
log_start "$lost"
wait_vote "$lost" || site_fail "no vote after the wipe"
[ "$(log_field "$lost" disk)" != "$disk" ] ||
  site_fail "the wiped disk still has identity $disk"
log_wait_equal 0 1 2 || site_fail "not equal after the wipe"

# Damage before the tail of the log stops the process with exit code 12.
log_kill "$lost" KILL
segment=$(find "$SITE/data-$lost" -name '*.log' | sort | head -n 1)
printf 'X' | dd of="$segment" bs=1 seek=60 conv=notrunc status=none
timeout 5 "$BUILD/briarrack" serve "$SITE/log-$lost.json" \
  > "$SITE/damaged.out" 2>&1
code=$?
[ $code = 12 ] || site_fail "exit code $code: $(cat "$SITE/damaged.out")"
grep -q "$(basename "$segment")" "$SITE/damaged.out" ||
  site_fail "segment $segment is not named: $(cat "$SITE/damaged.out")"
grep -q 'frame [0-9]*: damaged' "$SITE/damaged.out" ||
  site_fail "the damaged frame is not named: $(cat "$SITE/damaged.out")"
rm -rf "$SITE/data-$lost"
log_start "$lost"
# Only two voters remain until it is promoted; neither may be stopped before.
wait_vote "$lost" || site_fail "no vote after the damage"
log_wait_equal 0 1 2 || site_fail "not equal after the damage"

# On SIGTERM the leader transfers leadership before the process ends.
leader=$(log_leader) || site_fail "no leader before the stop"
log_kill "$leader" TERM
grep -q 'handing over' "$SITE/log-$leader.log" ||
  site_fail "leadership was not handed over"
log_leader "$leader" > /dev/null || site_fail "no leader after the stop"
echo "freeze: ok"
