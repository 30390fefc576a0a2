# The leader is killed while proposals run; then a second VM is lost right
# after the first was repaired; then all are restarted after 1,000 commands.
# Usage: replica_kill.sh BUILD
set -u
BUILD=$1
BASE_PORT=22000
. "$(dirname "$0")/../support/replica_site.sh"
site_init

# What the restarted voters have applied must hold every proposal that was
# answered as committed, and none that was refused, each once.
check_outcomes() {
  local committed
  committed=$(grep -c ' committed ' "$SITE/$1.txt")
  [ "$committed" -gt 0 ] || site_fail "$1: nothing was committed"
  grep -q '^committed=' "$SITE/$1.txt" || site_fail "$1: not ended"
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
[ "$next" != "$leader" ] || site_fail "the dead VM leads"

# Repaired, and at once the new leader is lost.
log_start "$leader"
log_wait_equal 0 1 2 || site_fail "the repaired VM does not catch up"
log_kill "$next" KILL
log_leader "$next" > /dev/null || site_fail "no leader after the second loss"
log_propose 200 4 second > /dev/null
check_outcomes second
log_start "$next"
log_wait_equal 0 1 2 || site_fail "not equal after the second repair"

log_propose 1000 16 thousand > /dev/null
grep -q '^committed=1000 ' "$SITE/thousand.txt" ||
  site_fail "thousand: $(tail -n 1 "$SITE/thousand.txt")"
before=$(log_field 0 applied)
for i in 0 1 2; do log_kill $i KILL; done
for i in 0 1 2; do log_start $i; done
log_leader > /dev/null || site_fail "no leader after the restart of all"
log_wait_equal 0 1 2 || site_fail "not equal after the restart of all"
after=$(log_field 0 applied)
[ "$after" -ge "$before" ] || site_fail "applied $after of $before"
[ "$(log_field 0 snapshot)" -gt 0 ] || site_fail "no snapshot was taken"
echo "kill: ok, $(tail -n 1 "$SITE/killed.txt")"
