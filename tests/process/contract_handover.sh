# Guards against streams that are lost or cut when their VM must leave within
# seconds and hands them over.  The cases are callers that stay connected, a VM
# that is killed during the hand-over, and an entry VM and its backup that must
# leave at the same time.  Usage: contract_handover.sh BUILD
set -u
BUILD=$1
BASE_PORT=24300
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/contract.sh"
site_init
site_up --token-ms 30 > /dev/null || site_fail "site does not come up"
contract_wait_links
site_complete 1 "$(contract_body draft 150)" > "$SITE/whole" &
whole=$!

# Restarts VM number $1 with drain.grace_ms set to $2.
restart() {
  kill -9 "$(site_pid "${SITE_VMS[$1]}")" 2> /dev/null
  SITE_GRACE_MS=$2 site_start_vm "$1"
  site_wait "http://127.0.0.1:$((BASE_PORT + $1))/readyz"
  site_apply "$SITE/declarations.json" > /dev/null
  contract_wait_links
}

# 1. The grace is shorter than the stream, and the process must end with exit code 0.
restart 0 2000
contract_stream 0 draft 150 short
contract_wait_tokens short 5
owner=$(site_pid castillos-1)
kill -TERM "$owner"
wait "$owner"
[ $? = 0 ] || site_fail "the exit code after a hand-over is not 0"
wait "$whole"
contract_check_rest short 1 whole
grep -q '"event":"take_over"' "$SITE/lascano-1.log" ||
  site_fail "lascano-1 did not take over"

# 2. A second signal hands over at once.  The caller stays connected and must
# get the whole stream.
restart 0 0
contract_stream 0 draft 150 stays
contract_wait_tokens stays 5
kill -TERM "$(site_pid castillos-1)"
sleep 0.1
kill -TERM "$(site_pid castillos-1)"
wait "$CONTRACT_READER"
grep -q '^data: \[DONE\]$' "$SITE/stays" ||
  site_fail "the stream of a connected caller has no end"
wait "$(site_pid castillos-1)" || site_fail "the exit code after a second signal is not 0"
contract_check_rest stays 1 whole

# 3. The VM is killed right after the hand-over began.
restart 0 2000
contract_stream 0 draft 150 killed
contract_wait_tokens killed 5
kill -TERM "$(site_pid castillos-1)"
sleep 0.1
kill -TERM "$(site_pid castillos-1)"
kill -9 "$(site_pid castillos-1)"
contract_check_rest killed 1 whole

# 4. The entry VM and its backup get SIGTERM at the same time, and the engine is
# killed shortly after.
restart 0 2000
restart 2 2000
contract_stream 0 draft 150 both
contract_wait_tokens both 5
kill -TERM "$(site_pid castillos-1)" "$(site_pid lascano-1)"
sleep 0.3
kill -9 "$(site_pid e1)"
contract_check_rest both 1 whole
contract_check_engines
echo "hand-over: ok"
