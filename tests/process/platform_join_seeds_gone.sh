# Checks that an empty control VM whose settings name only control VMs that are gone says
# so, refuses reads at once, and joins when its settings file changes, without a signal;
# and that it and the entry VMs stop dialling the VMs that are gone.
# Usage: platform_join_seeds_gone.sh BUILD
set -u
BUILD=$1
BASE_PORT=30750
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 1
platform_join 4 2
reads_at() { platform_read "$1" | grep -q '"Version": 1'; }
platform_wait_ms 4000 reads_at 4 || site_fail "VM 4 does not join: $(cat "$SITE/control-4.out")"
site_kill control-3
platform_join 5 3
not_ready() {
  curl -s -m 1 "http://127.0.11.5:$((BASE_PORT + 1))/readyz" |
    grep -q '{"ready":false,"why":"no control VM has answered its join requests"}'
}
platform_wait_ms 2000 not_ready || site_fail "VM 5 does not say why it is not ready"
began=$(date +%s%3N)
platform_read 5 | grep -q 'no control VM has answered' || site_fail "the read has no reason: $(platform_read 5)"
took=$(($(date +%s%3N) - began))
[ "$took" -lt 500 ] || site_fail "the read was refused after $took ms"
logged() { grep -q '"event":"has no vote","why":"no control VM has answered' "$SITE/control-5.out"; }
platform_wait_ms 2000 logged || site_fail "the log has no reason: $(cat "$SITE/control-5.out")"
metric() {
  curl -s -m 1 "http://127.0.11.$1:$((BASE_PORT + 8))/metrics" | sed -n "s/^$2 //p"
}
[ "$(metric 5 briarrack_log_has_vote)" = 0 ] || site_fail "the metric says that VM 5 has a vote"

sed -i "s/127.0.11.3:/127.0.11.2:/" "$SITE/control-5.json"
platform_wait_ms 4000 reads_at 5 || site_fail "VM 5 does not join: $(cat "$SITE/control-5.out")"
has_vote() { [ "$(metric 5 briarrack_log_has_vote)" = 1 ]; }
platform_wait_ms 4000 has_vote || site_fail "VM 5 gets no vote: $(cat "$SITE/control-5.out")"

peers() { curl -s -m 1 "http://$1:$((BASE_PORT + 1))/v1/status" | grep -o '"peers":\[[^]]*'; }
# The settings of the other VMs still name VM 3; those of VM 5 and 4 do not.
forgets_3() { ! peers "127.0.11.$1" | grep -q '"vm":"127.0.11.3"'; }
platform_wait_ms 30000 forgets_3 5 || site_fail "VM 5 still dials VM 3: $(peers 127.0.11.5)"
platform_wait_ms 30000 forgets_3 4 || site_fail "VM 4 still dials VM 3: $(peers 127.0.11.4)"
sed -i "s/127.0.11.3:/127.0.11.5:/" "$SITE/entry-1.json"
kill -HUP "$(site_pid entry-1)"
entry_forgets_3() { ! peers 127.0.12.1 | grep -q '"vm":"127.0.11.3"'; }
platform_wait_ms 30000 entry_forgets_3 || site_fail "the entry VM still dials VM 3: $(peers 127.0.12.1)"
peers 127.0.12.1 | grep -q '"vm":"127.0.11.4","failure_domain":"","up":true' ||
  site_fail "the entry VM has no link to VM 4: $(peers 127.0.12.1)"
echo "a VM whose seeds are gone says so and joins when its settings change"
