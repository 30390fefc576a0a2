# Kills the leader while proposals run, then kills the next leader right after
# the first VM has caught up, then kills and restarts all VMs after 1,000
# commands.
# Usage: replica_kill.sh BUILD
set -u
BUILD=$1
BASE_PORT=22000
. "$(dirname "$0")/../support/replica_site.sh"
site_init

# Fails unless the client of run $1 finished and at least one proposal was
# committed.
check_outcomes() {
  local committed
  committed=$(grep -c ' committed ' "$SITE/$1.txt")
  [ "$committed" -gt 0 ] || site_fail "$1: nothing was committed"
  grep -q '^committed=' "$SITE/$1.txt" ||
    site_fail "$1: the client did not finish"
}

for i in 0 1 2; do log_start $i; done
leader=$(log_leader) || site_fail "no first leader"

log_propose 3000 16 killed > /dev/null &
client=$!
sleep 0.15
log_kill "$leader" KILL
wait $client
check_outcomes killed
next=$(log_leader "$leader") || site_fail "no leader after the kill"
[ "$next" != "$leader" ] ||
  site_fail "the killed VM $leader is reported as leader"

# The first VM catches up, and the new leader is killed right after.
log_start "$leader"
log_wait_equal 0 1 2 || site_fail "VM $leader does not catch up"
log_kill "$next" KILL
log_leader "$next" > /dev/null || site_fail "no leader after the second loss"
log_propose 200 4 second > /dev/null
check_outcomes second
log_start "$next"
log_wait_equal 0 1 2 || site_fail "not equal after the second restart"

log_propose 1000 16 thousand > /dev/null
grep -q '^committed=1000 ' "$SITE/thousand.txt" ||
  site_fail "not all of 1,000 proposals were committed: $(tail -n 1 "$SITE/thousand.txt")"
before=$(log_field 0 applied)
for i in 0 1 2; do log_kill $i KILL; done
for i in 0 1 2; do log_start $i; done
log_leader > /dev/null || site_fail "no leader after the restart of all"
log_wait_equal 0 1 2 || site_fail "not equal after the restart of all"
after=$(log_field 0 applied)
[ "$after" -ge "$before" ] ||
  site_fail "applied index $after after the restart, $before before it"
[ "$(log_field 0 snapshot)" -gt 0 ] || site_fail "no snapshot was taken"
echo "kill: ok, $(tail -n 1 "$SITE/killed.txt")"
