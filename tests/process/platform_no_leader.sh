# Checks that an entry VM that starts while no control VM leads receives the number
# of entry VMs that share the quotas from a follower.  Without it, the VM would use
# the whole quotas itself.
# Usage: platform_no_leader.sh BUILD
set -u
BUILD=$1
BASE_PORT=26600
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 2
entry_vms() {
  curl -s -m 1 "http://127.0.12.1:$((BASE_PORT + 8))/metrics" |
    sed -n 's/^briarrack_entry_vms //p'
}
sleep 0.3 # three ticks: one heartbeat announces all entry VMs that joined
[ "$(entry_vms)" = 2 ] || site_fail "with a leader: $(entry_vms) entry VMs, not 2"
kill -STOP "$(site_pid control-2)" "$(site_pid control-3)"
site_kill entry-1
platform_vm entry 1 3
platform_wait platform_entry_ready 1 || site_fail "entry VM 1 is not ready"
both_known() { [ "$(entry_vms)" = 2 ]; }
platform_wait both_known || site_fail "without a leader: $(entry_vms) entry VMs, not 2"
echo "two entry VMs share the quotas without a leader"
