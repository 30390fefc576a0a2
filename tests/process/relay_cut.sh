# The relay cuts a VM off.  Its links go down and come up again once the cut ends;
# in the meantime the VM keeps serving.  Usage: relay_cut.sh BUILD
set -u
BUILD=$1
BASE_PORT=21100
SITE_RELAY=1
. "$(dirname "$0")/../support/site.sh"
site_init
site_up > /dev/null || site_fail "site does not come up"

# links_up N: prints how many links of VM number N are up.
links_up() {
  "$BUILD/briarrack" status --json \
    --server "127.0.0.1:$((BASE_PORT + 10 + $1))" | grep -o '"up":true' | wc -l
}

# wait_links N COUNT: waits until COUNT links of VM number N are up.
wait_links() {
  local i
  for i in $(seq 200); do
    [ "$(links_up "$1")" = "$2" ] && return 0
    sleep 0.05
  done
  site_fail "VM $1 has $(links_up "$1") links up, not $2"
}

wait_links 0 2
wait_links 2 2
site_cut_off 2
wait_links 2 0
wait_links 0 1
answer=$(site_complete 2 '{"model":"contract-lm","max_tokens":3,
  "messages":[{"role":"user","content":"cut off"}]}')
grep -q 't2-' <<< "$answer" || site_fail "cut-off VM does not serve: $answer"
site_cut_off 2 open
wait_links 2 2
wait_links 0 2
echo "relay: ok"
