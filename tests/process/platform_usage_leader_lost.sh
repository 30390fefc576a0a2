# Checks that no counts older than a quarter of a second are lost when an entry VM
# is killed while the leader is frozen: the next leader has them.
# Usage: platform_usage_leader_lost.sh BUILD
set -u
BUILD=$1
BASE_PORT=32000
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 2
has_leader() { grep -q '"event":"leader"' "$SITE/entry-2.out"; }
# A new site reports its first windows late, and a new leader only the last three.
has_reported() { grep -q '"duty":"usage"' "$SITE/cloud.out"; }
platform_wait has_reported || site_fail "no usage was reported"
sent=0
for round in 1 2 3 4 5 6; do
  platform_wait has_leader || site_fail "round $round: entry VM 2 has not found the leader"
  for i in 1 2 3 4 5 6; do
    [ "$(platform_request 2 "k$round-$i" /look/good | tail -n 1)" = 200 ] || site_fail "k$round-$i"
    sent=$((sent + 1))
  done
  sleep 0.25
  [ $round = 3 ] && kill -STOP "$(site_pid "control-$(platform_leader 1 2 3)")"
  site_kill entry-2
  platform_vm entry 2 3
  platform_wait platform_entry_ready 2 || site_fail "entry VM 2 is not ready again"
done
all_counted() { [ "$(platform_counted)" = "$sent" ]; }
platform_wait all_counted || site_fail "counted $(platform_counted) of $sent requests"
echo "the leader lost: $sent requests counted"
