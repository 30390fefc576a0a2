# Guards against lost or changed text when the owner of a stream is killed.  The
# owner is killed at several points of the stream.  The caller reads the rest
# through another VM and must get the same text as without a failure.
# Usage: contract_owner_killed.sh BUILD
set -u
BUILD=$1
BASE_PORT=24000
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/contract.sh"
site_init
site_up --token-ms 10 > /dev/null || site_fail "site does not come up"
contract_wait_links

site_complete 1 "$(contract_body draft 80)" > "$SITE/whole"
[ "$(contract_tokens "$SITE/whole" | wc -l)" = 80 ] ||
  site_fail "the answer without a failure is not complete"

for tokens in 0 1 9 40 75; do
  contract_stream 0 draft 80 "s$tokens"
  if [ "$tokens" = 0 ]; then
    sleep 0.25
  else
    contract_wait_tokens "s$tokens" "$tokens"
  fi
  [ "$(contract_backup "s$tokens")" = lascano-1 ] ||
    site_fail "the backup is $(contract_backup "s$tokens"), not lascano-1"
  kill -9 "$(site_pid castillos-1)"
  contract_check_rest "s$tokens" 1 whole
  # Reads the complete answer again through the VM that took over.
  contract_read 2 "$(contract_id "s$tokens")" "" "$SITE/again"
  diff <(contract_tokens "$SITE/again") <(contract_tokens "$SITE/whole") ||
    site_fail "the answer differs when it is read again"
  site_start_vm 0
  site_wait "http://127.0.0.1:$BASE_PORT/readyz"
  site_apply "$SITE/declarations.json" > /dev/null
  contract_wait_links
done
contract_check_engines
echo "owner killed: ok"
