# Checks that an operator gets a site back whose log has lost its majority for good: the
# log goes on with the one VM that is left, and empty VMs join it.
# Usage: platform_majority_lost.sh BUILD
set -u
BUILD=$1
BASE_PORT=30850
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 1
site_kill control-2 control-3
! platform_read 1 | grep -q Version || site_fail "one of three voters serves a read"
"$BUILD/briarrack" rescue "$SITE/control-1.json" 2> "$SITE/rescue.log" &&
  site_fail "the folder of a process that runs is rescued"
grep -q 'another process' "$SITE/rescue.log" || site_fail "the reason is missing: $(cat "$SITE/rescue.log")"
site_kill control-1
"$BUILD/briarrack" rescue "$SITE/control-1.json" > "$SITE/rescue.log" || site_fail "rescue shows nothing"
grep -q '"voters":"127.0.11.1,127.0.11.2,127.0.11.3","only_voter":false' "$SITE/rescue.log" ||
  site_fail "rescue shows $(cat "$SITE/rescue.log")"
"$BUILD/briarrack" rescue --accept-loss "$SITE/control-1.json" > "$SITE/rescue.log" || site_fail "rescue fails"
site_start control-1 "$BUILD/briarrack" serve "$SITE/control-1.json"
reads_at() { platform_read "$1" | grep -q '"Version": 1'; }
platform_wait_ms 4000 reads_at 1 || site_fail "VM 1 does not serve alone: $(cat "$SITE/control-1.out")"
for i in 4 5; do
  platform_join "$i" 1
  platform_wait_ms 4000 reads_at "$i" || site_fail "VM $i does not join: $(cat "$SITE/control-$i.out")"
done
three_members() { [ "$(platform_members 1)" = "127.0.11.1 127.0.11.4 127.0.11.5" ]; }
platform_wait_ms 4000 three_members || site_fail "members: $(platform_members 1)"
platform_configuration 2 > "$SITE/2.json"
puts_second() { [ "$(platform_put 4 "$SITE/2.json")" = 200 ]; }
platform_wait_ms 4000 puts_second || site_fail "configuration 2 is not accepted"
"$BUILD/briarrack" rescue "$SITE/entry-1.json" 2> "$SITE/rescue.log" && site_fail "a VM without a folder is rescued"
grep -q 'no data.folder' "$SITE/rescue.log" || site_fail "the reason is missing: $(cat "$SITE/rescue.log")"
echo "the log goes on with one VM, and two join it"
