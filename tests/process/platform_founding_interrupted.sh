# Checks that the log is founded although control VMs were killed before: one that comes
# back empty, one that another VM replaces, and all of them, all with site.founding false.
# Usage: platform_founding_interrupted.sh BUILD
set -u
BUILD=$1
BASE_PORT=31950
. "$(dirname "$0")/../support/platform_site.sh"

# The first voters wait for one that does not answer; a VM that joins then has CatchUpS.
BOUND_MS=10000

site_init
platform_upstreams
platform_configuration 1 > "$SITE/1.json"
put_at() { [ "$(platform_put "$1" "$SITE/1.json")" = 200 ]; }
has_vote() {
  curl -s -m 1 "http://127.0.11.$1:$((BASE_PORT + 8))/metrics" |
    grep -q 'briarrack_log_has_vote 1'
}
is_up() { curl -s -m 1 -o /dev/null "http://127.0.11.$1:$((BASE_PORT + 8))/metrics"; }
clear_site() {
  site_kill "$@"
  rm -rf "$SITE"/disk-*
}

# VM 3 is killed before the others start, and loses its disk.
platform_vm control 3 3
platform_wait is_up 3 || site_fail "VM 3 does not start"
site_kill control-3
rm -rf "$SITE/disk-3"
for i in 1 2; do platform_vm control "$i" 3; done
platform_vm control 3 3 false
platform_wait_ms "$BOUND_MS" put_at 1 ||
  site_fail "no log after VM 3 came back empty: $(cat "$SITE"/control-*.out)"
platform_wait_ms "$BOUND_MS" has_vote 3 ||
  site_fail "VM 3 gets no vote: $(cat "$SITE/control-3.out")"
clear_site control-1 control-2 control-3

# VM 1, the first by name, is killed before the others start; VM 4 takes its place.
platform_vm control 1 3
platform_wait is_up 1 || site_fail "VM 1 does not start"
site_kill control-1
for i in 2 3; do platform_vm control "$i" 3; done
platform_join 4 2 3
platform_wait_ms "$BOUND_MS" put_at 2 ||
  site_fail "no log after VM 4 replaced VM 1: $(cat "$SITE"/control-*.out)"
platform_wait_ms "$BOUND_MS" has_vote 4 ||
  site_fail "VM 4 gets no vote: $(cat "$SITE/control-4.out")"
without_1() { ! platform_members 2 | grep -q '127.0.11.1'; }
platform_wait_ms "$BOUND_MS" without_1 || site_fail "VM 1 is a member: $(platform_members 2)"
clear_site control-2 control-3 control-4

# No two VMs run at the same time before all are restarted; their disks are kept.
for i in 1 2 3; do
  platform_vm control "$i" 3
  platform_wait is_up "$i" || site_fail "VM $i does not start"
  site_kill "control-$i"
done
for i in 1 2 3; do platform_vm control "$i" 3 false; done
platform_wait_ms "$BOUND_MS" put_at 1 ||
  site_fail "no log after all restarted: $(cat "$SITE"/control-*.out)"
clear_site control-1 control-2 control-3

# VM 2 and VM 3 lose the disks with which they held the log, while VM 4, which holds it as
# well, is down; VM 1 was down when it was founded.  They must not found a second log.
for i in 2 3; do platform_vm control "$i" 3; done
platform_join 4 2 3
platform_wait_ms "$BOUND_MS" put_at 2 || site_fail "no log of VM 2, 3 and 4"
platform_wait_ms "$BOUND_MS" has_vote 4 || site_fail "VM 4 gets no vote"
site_kill control-2 control-3 control-4
rm -rf "$SITE/disk-2" "$SITE/disk-3"
platform_vm control 1 3
for i in 2 3; do platform_vm control "$i" 3 false; done
sleep 5
platform_leader 1 2 3 && site_fail "a second log was founded: $(cat "$SITE"/control-*.out)"
echo "the log is founded once although control VMs were killed before"
