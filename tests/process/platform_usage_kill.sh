# Checks that no counts older than a quarter of a second are lost when an entry VM
# is killed.
# Usage: platform_usage_kill.sh BUILD
set -u
BUILD=$1
BASE_PORT=26700
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 2
# The counts are sent to the leader, which a starting VM must have found first.
has_leader() { grep -q '"event":"leader"' "$SITE/entry-2.out"; }
stream_began() { cat "$SITE/r1.out" "$SITE/r2.out" | grep -q "\"run\":\"s$round\""; }
sent=0
for round in 1 2 3 4 5 6 7 8; do
  platform_wait has_leader || site_fail "round $round: entry VM 2 has not found the leader"
  for i in 1 2 3 4 5 6; do
    [ "$(platform_request 2 "k$round-$i" /look/good | tail -n 1)" = 200 ] || site_fail "k$round-$i"
    sent=$((sent + 1))
  done
  # In every other round a stream is in progress when the VM is killed.
  if [ $((round % 2)) = 0 ]; then
    platform_request 2 "s$round" /chat/named-stream -X POST -d x > /dev/null &
    sent=$((sent + 1))
    until stream_began; do sleep 0.01; done
  fi
  sleep 0.25
  site_kill entry-2
  platform_vm entry 2 3
  platform_wait platform_entry_ready 2 || site_fail "entry VM 2 is not ready again"
done
all_counted() { [ "$(platform_counted)" = "$sent" ]; }
platform_wait all_counted || site_fail "counted $(platform_counted) of $sent requests"
echo "killed eight times: $sent requests counted"
