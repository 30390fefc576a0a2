# Checks that an empty control VM joins the log when its settings name control VMs none
# of which leads, and that it serves reads within CatchUpS of its start.
# Usage: platform_join_without_leader.sh BUILD
set -u
BUILD=$1
BASE_PORT=30700
. "$(dirname "$0")/../support/platform_site.sh"

# The platform's bound CatchUpS, in milliseconds.
CATCH_UP_MS=4000

site_init
platform_upstreams
for i in 1 2 3 4; do platform_vm control "$i" 3; done
platform_configuration 1 > "$SITE/1.json"
put_first() { [ "$(platform_put 1 "$SITE/1.json")" = 200 ]; }
platform_wait put_first || site_fail "configuration 1 is not accepted"
all_members() { [ "$(platform_members 1 | wc -w)" = 4 ]; }
platform_wait all_members || site_fail "members: $(platform_members 1)"

leader=
finds_leader() { leader=$(platform_leader 1 2 3 4); }
platform_wait finds_leader || site_fail "no leader"
others=$(for i in 1 2 3 4; do [ "$i" = "$leader" ] || echo "$i"; done)
# shellcheck disable=SC2086
platform_join 5 $others
reads_at_5() { platform_read 5 | grep -q '"Version": 1'; }
platform_wait_ms "$CATCH_UP_MS" reads_at_5 ||
  site_fail "no read at the new VM within $CATCH_UP_MS ms: $(cat "$SITE/control-5.out")"
is_member() { platform_members 5 | grep -q '127.0.11.5'; }
platform_wait is_member || site_fail "members: $(platform_members 5)"
echo "an empty control VM joins through VMs that do not lead"
