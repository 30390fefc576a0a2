# Guards against a stream that does not survive a second loss.  The owner is
# killed, and right after the take-over the new owner too.  Then an engine is
# killed in the middle of another stream.  Usage: contract_two_losses.sh BUILD
set -u
BUILD=$1
BASE_PORT=24200
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/contract.sh"
site_init
site_up --token-ms 30 > /dev/null || site_fail "site does not come up"
contract_wait_links

site_complete 1 "$(contract_body draft 200)" > "$SITE/whole" &
whole=$!
contract_stream 0 draft 200 twice
contract_wait_tokens twice 10
kill -9 "$(site_pid castillos-1)"
for i in $(seq 300); do
  grep -q '"event":"take_over"' "$SITE/lascano-1.log" && break
  sleep 0.01
done
# The new backup confirms its copy within one message delay.
for i in $(seq 300); do
  grep '"event":"held"' "$SITE/lascano-1.log" | grep -q castillos-2 && break
  sleep 0.01
done
kill -9 "$(site_pid lascano-1)"
wait "$whole"
[ "$(contract_tokens "$SITE/whole" | wc -l)" = 200 ] ||
  site_fail "the answer without a failure is not complete"
contract_check_rest twice 1 whole

# Only castillos-2 is left.  It accepts the work without a backup and must
# report "none" in X-Contract-Partner.
contract_stream 1 draft 200 engine
contract_wait_tokens engine 10
[ "$(contract_backup engine)" = none ] ||
  site_fail "the backup is $(contract_backup engine), not none"
for e in e1 e2; do
  grep "$(contract_id engine)" "$SITE/$e.out" | grep -q '"event":"run"' &&
    kill -9 "$(site_pid $e)" && break
done
contract_check_rest engine 1 whole
contract_check_engines
echo "two losses: ok"
