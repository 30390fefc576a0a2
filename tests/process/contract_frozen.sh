# Guards against two owners after a frozen owner is resumed.  The owner of a
# stream is frozen and the backup takes over.  When the owner is resumed, its
# caller must still get one whole answer, and the owner must log that it was
# superseded.
# Usage: contract_frozen.sh BUILD
set -u
BUILD=$1
BASE_PORT=24100
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/contract.sh"
site_init
site_up --token-ms 30 > /dev/null || site_fail "site does not come up"
contract_wait_links

site_complete 1 "$(contract_body draft 200)" > "$SITE/whole" &
whole=$!
contract_stream 0 draft 200 frozen
contract_wait_tokens frozen 12
kill -STOP "$(site_pid castillos-1)"
id=$(contract_id frozen)
contract_read 1 "$id" "" "$SITE/elsewhere"
wait "$whole"
grep -q '"event":"take_over"' "$SITE/lascano-1.log" ||
  site_fail "lascano-1 did not take over"
diff <(contract_tokens "$SITE/elsewhere") <(contract_tokens "$SITE/whole") ||
  site_fail "the answer read through VM 1 differs"
kill -CONT "$(site_pid castillos-1)"
contract_check_rest frozen 0 whole
grep -q '"event":"superseded"' "$SITE/castillos-1.log" ||
  site_fail "the old owner did not log superseded"
contract_check_engines
echo "frozen: ok"
