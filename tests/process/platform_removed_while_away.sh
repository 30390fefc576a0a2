# Checks that a control VM that was removed from the log while it was
# down, and whose settings and disk name only control VMs that are gone, says that it has
# no part in the log: it must not be ready, nor report a vote.
# Usage: platform_removed_while_away.sh BUILD
set -u
BUILD=$1
BASE_PORT=31900
. "$(dirname "$0")/../support/platform_site.sh"

site_init
platform_upstreams
for i in 1 2 3 4; do platform_vm control "$i" 3; done
platform_configuration 1 > "$SITE/1.json"
put_first() { [ "$(platform_put 2 "$SITE/1.json")" = 200 ]; }
platform_wait put_first || site_fail "configuration 1 is not accepted"
all_members() { [ "$(platform_members 2 | wc -w)" = 4 ]; }
platform_wait all_members || site_fail "members: $(platform_members 2)"

site_kill control-4
alive="1 2 3"
for next in 5 6 7; do
  gone=${alive%% *}
  # shellcheck disable=SC2086
  platform_join "$next" $alive
  sleep 4
  site_kill "control-$gone"
  alive="${alive#* } $next"
  sleep 4
done
reads_at_7() { platform_read 7 | grep -q '"Version": 1'; }
platform_wait_ms 4000 reads_at_7 || site_fail "the log is gone: $(cat "$SITE"/control-*.out)"
platform_members 7 | grep -q '127.0.11.4' && site_fail "VM 4 is a member: $(platform_members 7)"

site_start control-4 "$BUILD/briarrack" serve "$SITE/control-4.json"
sleep 12
ready=$(curl -s -m 1 "http://127.0.11.4:$((BASE_PORT + 1))/readyz")
vote=$(curl -s -m 1 "http://127.0.11.4:$((BASE_PORT + 8))/metrics" | grep briarrack_log_)
echo "readyz $ready; $vote; read $(platform_read 4); members $(platform_members 7)" >&2
grep '"part":"replica"' "$SITE/control-4.out" | tail -n 5 >&2
echo "$ready" | grep -q '"ready":false' || site_fail "VM 4 is outside and ready: $ready"
echo "$vote" | grep -q 'briarrack_log_has_vote 0' || site_fail "VM 4 is outside and has a vote"
echo "a VM that was removed while it was away says so"
