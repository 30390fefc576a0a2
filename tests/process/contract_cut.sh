# Guards against streams that stop, or keep two owners, when the network is cut.
# A failure domain is cut off while its VM is the backup of a stream.  Both
# sides must continue the stream for their callers, and after the cut only one
# owner may be left.  A second stream meets a cut in one direction only.
# Usage: contract_cut.sh BUILD
set -u
BUILD=$1
BASE_PORT=24500
SITE_RELAY=1
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/contract.sh"
site_init
site_up --token-ms 40 > /dev/null || site_fail "site does not come up"
contract_wait_links
site_complete 1 "$(contract_body draft 250)" > "$SITE/whole" &
whole=$!

contract_stream 0 draft 250 cut
contract_wait_tokens cut 10
[ "$(contract_backup cut)" = lascano-1 ] ||
  site_fail "the backup is $(contract_backup cut), not lascano-1"
id=$(contract_id cut)
site_cut_off 2 > /dev/null
# The other side takes over and serves the answer.
contract_read 2 "$id" "" "$SITE/other-side" &
other=$!
# VM 1's contract has the same backup and may be taken over earlier, which is
# why the contract id is checked.
taken_over() {
  grep '"event":"take_over"' "$SITE/lascano-1.log" | grep -q "$id"
}
for i in $(seq 500); do
  taken_over && break
  sleep 0.01
done
taken_over || site_fail "lascano-1 did not take over $id"
# This side finds another backup.  Each side detects the cut independently, in
# any order.
for i in $(seq 300); do
  grep "$id" "$SITE/castillos-1.log" | grep '"event":"held"' |
    grep -q castillos-2 && break
  sleep 0.01
done
grep "$id" "$SITE/castillos-1.log" | grep '"event":"held"' |
  grep -q castillos-2 || site_fail "castillos-2 is not the new backup of $id"
# The reply for a contract of an unreachable VM names that VM.
answer=$(curl -sS -i -H "Authorization: Bearer $SITE_KEY" \
  "http://127.0.0.1:$BASE_PORT/v1/contracts/lascano-1.1.1")
grep -q '^HTTP/1.1 503' <<< "$answer" || site_fail "not 503: $answer"
grep -q 'without an answer: lascano-1' <<< "$answer" || site_fail "$answer"
site_cut_off 2 open > /dev/null
wait "$other" "$whole"
contract_check_rest cut 0 whole
diff <(contract_tokens "$SITE/other-side") <(contract_tokens "$SITE/whole") ||
  site_fail "the other side's answer differs"
for i in $(seq 300); do
  [ "$(grep -h "$id" "$SITE"/*-?.log | grep -c '"event":"superseded"')" -ge 1 ] &&
    break
  sleep 0.02
done
[ "$(grep -h "$id" "$SITE"/*-?.log | grep -c '"event":"superseded"')" -ge 1 ] ||
  site_fail "two owners are left"

# Messages to the backup are lost, but messages from it arrive.  Relay link 2
# carries what castillos-1 dials to it.
contract_wait_links
contract_stream 0 draft 250 oneway
contract_wait_tokens oneway 10
site_relay 2 cut-to > /dev/null
contract_check_rest oneway 0 whole
site_relay 2 open > /dev/null
contract_check_engines
echo "cut: ok"
