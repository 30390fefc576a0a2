# Checks that a control VM whose copy of the log was not emptied after a rescue elsewhere
# says so, is not ready and does no harm, and joins once it is emptied.
# Usage: platform_old_copy.sh BUILD
set -u
BUILD=$1
BASE_PORT=32000
. "$(dirname "$0")/../support/platform_site.sh"

WHY="its log holds committed entries that the leader's log lacks"

site_init
platform_upstreams
for i in 1 2 3; do platform_vm control "$i" 3; done
for i in 1 2 3 4; do platform_configuration "$i" > "$SITE/$i.json"; done
put() { [ "$(platform_put "$1" "$SITE/$2.json")" = 200 ]; }
platform_wait put 1 1 || site_fail "configuration 1 is not accepted"
site_kill control-1
platform_wait put 2 2 || site_fail "configuration 2 is not accepted"
# By then the commit index is on disk.
sleep 1
site_kill control-2 control-3
"$BUILD/briarrack" rescue --accept-loss "$SITE/control-1.json" > "$SITE/rescue.log" ||
  site_fail "rescue fails: $(cat "$SITE/rescue.log")"
site_start control-1 "$BUILD/briarrack" serve "$SITE/control-1.json"
for i in 3 4; do platform_wait put 1 "$i" || site_fail "configuration $i is not accepted"; done

site_start control-2 "$BUILD/briarrack" serve "$SITE/control-2.json"
says_why() { grep -q "\"event\":\"has no vote\",\"why\":\"$WHY\"" "$SITE/control-2.out"; }
platform_wait_ms 4000 says_why || site_fail "VM 2 does not say why it is outside: $(cat "$SITE/control-2.out")"
for _ in 1 2 3 4 5 6 7 8 9 10; do
  ready=$(curl -s -m 1 "http://127.0.11.2:$((BASE_PORT + 1))/readyz")
  [ "$ready" = "{\"ready\":false,\"why\":\"$WHY\"}" ] || site_fail "VM 2 says: $ready"
  sleep 1
done
curl -s -m 1 "http://127.0.11.2:$((BASE_PORT + 8))/metrics" | grep -q 'briarrack_log_has_vote 0' ||
  site_fail "the metric says that VM 2 has a vote"
lines=$(grep -c "\"event\":\"has no vote\"" "$SITE/control-2.out")
[ "$lines" -le 6 ] || site_fail "$lines lines in 10 s"
[ "$(platform_members 1)" = 127.0.11.1 ] || site_fail "members: $(platform_members 1)"
platform_read 1 | grep -q '"Version": 4' || site_fail "VM 1 does not serve: $(platform_read 1)"

site_kill control-2
rm -rf "$SITE/disk-2"
mkdir "$SITE/disk-2"
platform_settings control 2 3 false > "$SITE/control-2.json"
site_start control-2 "$BUILD/briarrack" serve "$SITE/control-2.json"
reads() { platform_read 2 | grep -q '"Version": 4'; }
platform_wait_ms 4000 reads || site_fail "VM 2 does not join: $(cat "$SITE/control-2.out")"
echo "a copy that was not emptied after a rescue says so"
