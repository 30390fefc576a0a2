# Checks that the log survives a series of replacements: the leading control VM is killed
# for good and an empty one starts at another address, three times, each CatchUpS after
# the successor of the one before has started.  Then one VM loses its disk while all
# others are killed, and the acknowledged configuration must be readable.
# Usage: platform_replaced_in_series.sh BUILD
set -u
BUILD=$1
BASE_PORT=30900
. "$(dirname "$0")/../support/platform_site.sh"

# The platform's bounds, in seconds.
CATCH_UP_S=4
RECOVERY_MS=12000

site_init
platform_upstreams
for i in 1 2 3 4; do platform_vm control "$i" 3; done
alive="1 2 3 4"
put_version() {
  local i
  for i in $alive; do [ "$(platform_put "$i" "$SITE/$1.json")" = 200 ] && return 0; done
  return 1
}
platform_configuration 1 > "$SITE/1.json"
platform_wait put_version 1 || site_fail "configuration 1 is not accepted"
all_members() { [ "$(platform_members 1 | wc -w)" = 4 ]; }
platform_wait all_members || site_fail "members: $(platform_members 1)"

for next in 5 6 7; do
  leader=
  finds_leader() {
    # shellcheck disable=SC2086
    leader=$(platform_leader $alive)
  }
  platform_wait_ms 4000 finds_leader || site_fail "no leader before VM $next: $(cat "$SITE"/control-*.out)"
  site_kill "control-$leader"
  alive=$(for i in $alive; do [ "$i" = "$leader" ] || echo "$i"; done)
  sleep 1
  # shellcheck disable=SC2086
  platform_join "$next" $(echo $alive | cut -d ' ' -f 1-3)
  alive=$(echo $alive "$next")
  sleep $CATCH_UP_S
  echo "replaced: members $(platform_members "$next")" >&2
done
platform_configuration 2 > "$SITE/2.json"
platform_wait_ms 4000 put_version 2 || site_fail "configuration 2 is not accepted: $(cat "$SITE"/control-*.out)"

lost=${alive##* }
# shellcheck disable=SC2046
site_kill $(for i in $alive; do echo "control-$i"; done)
rm -rf "$SITE/disk-$lost"
mkdir "$SITE/disk-$lost"
for i in $alive; do
  site_start "control-$i" "$BUILD/briarrack" serve "$SITE/control-$i.json"
done
all_read() {
  local i
  for i in $alive; do platform_read "$i" | grep -q '"Version": 2' || return 1; done
}
platform_wait_ms $RECOVERY_MS all_read || site_fail "configuration 2 does not come: $(cat "$SITE"/control-*.out)"
echo "three control VMs replaced one after the other, then a disk lost"
