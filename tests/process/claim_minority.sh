# Guards against a VM without a majority that runs a call after refusing it.  Two
# of three VMs are frozen.  The third must refuse calls that run at most once,
# with Retry-After and outcome not_run; the time of each refusal is only printed.
# A refused call runs only when it is resent.  Work that may be repeated must
# still be served.
# Usage: claim_minority.sh BUILD
set -u
BUILD=$1
BASE_PORT=23400
. "$(dirname "$0")/../support/site.sh"

runs() { grep -c "\"key\":\"$1\"" "$SITE/ledger-1.out"; }

site_init
site_up || site_fail "site does not come up"
kill -STOP "$(site_pid castillos-2)" "$(site_pid lascano-1)"
sleep 3
for i in 1 2 3; do
  start=$(date +%s%N)
  reply=$(site_call 0 "order-$i" '{"amount":1}' -i)
  took=$((($(date +%s%N) - start) / 1000000))
  grep -q '"outcome":"not_run"' <<< "$reply" || site_fail "the outcome without a majority is not not_run: $reply"
  grep -qi '^retry-after:' <<< "$reply" || site_fail "no Retry-After: $reply"
  echo "refused after $took ms"
done
draft=$(site_complete 0 '{"model":"contract-lm","max_tokens":3,
  "messages":[{"role":"user","content":"draft"}]}')
grep -q '"content"' <<< "$draft" || site_fail "repeatable work is not served: $draft"

kill -CONT "$(site_pid castillos-2)" "$(site_pid lascano-1)"
for i in $(seq 50); do
  reply=$(site_call 0 order-1 '{"amount":1}')
  grep -q '"call"' <<< "$reply" && break
  sleep 0.2
done
grep -q '"call"' <<< "$reply" || site_fail "after the VMs were resumed: $reply"
[ "$(runs order-1)" = 1 ] || site_fail "order-1 ran $(runs order-1) times"
[ "$(runs order-2)" = 0 ] || site_fail "order-2 ran after the reply not_run"
[ "$(runs order-3)" = 0 ] || site_fail "order-3 ran after the reply not_run"
echo "claim minority: ok"
