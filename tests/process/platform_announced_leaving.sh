# Checks that an upstream that announces leaving in an answer, while the list still
# shows it as ready, gets no more requests from any entry VM, even after a change
# of the leader and a restart of an entry VM.
# Usage: platform_announced_leaving.sh BUILD
set -u
BUILD=$1
BASE_PORT=27200
. "$(dirname "$0")/../support/platform_site.sh"

# Time in which every connected VM must stop using a leaving upstream, in seconds.
DRAIN_S=3

# send_many NAME N: sends N requests through both entry VMs in turn
send_many() {
  local i status
  for i in $(seq "$2"); do
    status=$(platform_request $((i % 2 + 1)) "$1-$i" /look/good | tail -n 1)
    [ "$status" = 200 ] || site_fail "$1-$i: status $status, not 200"
  done
}

# expect_none NAME: checks that none of these requests reached the leaving upstream
expect_none() {
  local n
  n=$(grep -c "\"run\":\"$1-" "$SITE/$leaving.out")
  [ "$n" = 0 ] || site_fail "$n requests of $1 reached the leaving upstream $leaving"
}

platform_up 3 2
[ "$(platform_request 1 announce /look/leaving | tail -n 1)" = 200 ] || site_fail "the answer that announces leaving is not 200"
leaving=$(basename "$(grep -l '"run":"announce"' "$SITE"/p[12].out)" .out)
for i in $(seq 12); do
  status=$(platform_request 1 "same-$i" /look/good | tail -n 1)
  [ "$status" = 200 ] || site_fail "same-$i: status $status, not 200"
done
expect_none same
sleep $DRAIN_S
send_many later 20
expect_none later
leader=$(basename "$(grep -l '"event":"leads"' "$SITE"/control-*.out | head -n 1)" .out)
site_kill "$leader" entry-2
platform_vm control "${leader#control-}" 3
platform_vm entry 2 3
platform_wait platform_entry_ready 2 || site_fail "entry VM 2 is not ready again"
sleep $DRAIN_S
send_many restarted 20
expect_none restarted
grep -q '"event":"upstream leaves".*"id":"announce"' "$SITE/entry-1.out" ||
  site_fail "the log of entry VM 1 has no line on the leaving upstream"
echo "an upstream that only announced leaving gets no more requests"
