# Guards against VMs that are taken for down while they are reachable.  First a
# link between two VMs is cut in one direction, then all open links stall
# permanently.  No VM may be logged as down, and the links must be rebuilt.
# Then a VM is cut off from all others and comes back.
# Usage: domain_cuts.sh BUILD
set -u
BUILD=$1
BASE_PORT=25400
SITE_RELAY=1
. "$(dirname "$0")/../support/site.sh"

# Prints the number of lines in all logs that match $1.
count() { cat "${logs[@]}" | grep -c "$1"; }

# Waits until VM $1 logs a line that matches $2, from line $3 on.
wait_log() {
  local i
  for i in $(seq 100); do
    tail -n "+${3:-1}" "$SITE/$1.log" | grep -q "$2" && return 0
    sleep 0.1
  done
  site_fail "$1 did not log $2 within 10 s"
}

site_init
site_start_relay
site_wait "http://127.0.0.1:$((BASE_PORT + 49))/links/all/open" 2> /dev/null
site_up > /dev/null || site_fail "site does not come up"
logs=("$SITE"/castillos-1.log "$SITE"/castillos-2.log "$SITE"/lascano-1.log)
wait_log castillos-1 '"event":"link","peer":"lascano-1","kind":"both_ways"'
wait_log lascano-1 '"event":"link","peer":"castillos-1","kind":"both_ways"'

# Holds back what castillos-1 sends to lascano-1, on the links that either of
# them dialled.
site_relay 2 cut-to
site_relay 6 cut-from
wait_log castillos-1 '"peer":"lascano-1","kind":"\(silent\|inbound_only\)"'
sleep 6
[ "$(count '"state":"down"')" = 0 ] ||
  site_fail "one-way cut: a VM was logged as down"
lines=$(wc -l < "$SITE/castillos-1.log")
site_relay 2 open
site_relay 6 open
wait_log castillos-1 '"peer":"lascano-1","kind":"both_ways"' "$lines"

# Waits for the links that each VM dials.  They are dialled again with growing
# delays, and only links that are open can stall below.
links_up() {
  [ "$(curl -s -m 1 "http://127.0.0.1:$((BASE_PORT + 10 + $1))/v1/status" |
    grep -o '"up":true' | wc -l)" = 2 ]
}
for i in 0 1 2; do
  for _ in $(seq 50); do links_up $i && break; sleep 0.1; done
  links_up $i || site_fail "VM $i: a link is not up again"
done

# All open connections stall; new ones work.
before=$(count '"step":"heartbeat"')
site_relay all silence
for i in $(seq 60); do
  [ "$(count '"step":"heartbeat"')" -ge $((before + 6)) ] && break
  sleep 0.1
done
[ "$(count '"step":"heartbeat"')" -ge $((before + 6)) ] ||
  site_fail "stalled links are not detected"
sleep 3
[ "$(count '"state":"down"')" = 0 ] ||
  site_fail "stalled links: a VM was logged as down"
for i in 0 1 2; do
  links_up $i || site_fail "VM $i has links down"
done

# A VM that is cut off from all others is down, and up again after the cut.
site_cut_off 2
wait_log castillos-1 '"peer":"lascano-1".*"state":"down"'
wait_log lascano-1 '"peer":"castillos-1".*"state":"down"'
lines=$(wc -l < "$SITE/castillos-1.log")
site_cut_off 2 open
wait_log castillos-1 '"peer":"lascano-1".*"state":"up"' "$lines"
echo "domain cuts: ok"
