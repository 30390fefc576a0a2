# Checks resends and retries.  A caller that repeats its request while the first
# one runs gets the answer of the first.  A request whose engine dies is retried
# at another engine.  A call that runs at most once is not sent again when it may
# have run.  Usage: route_resend.sh BUILD
set -u
BUILD=$1
BASE_PORT=26100
. "$(dirname "$0")/../support/site.sh"
site_init
site_up --token-ms 50 || site_fail "site does not come up"

body='{"model":"contract-lm","max_tokens":20,
  "messages":[{"role":"user","content":"draft"}]}'
site_complete 0 "$body" > "$SITE/first" &
first=$!
sleep 0.3
site_complete 0 "$body" > "$SITE/second" || site_fail "no second answer"
wait "$first" || site_fail "no first answer"
runs=$(cat "$SITE"/e?.out | grep -c '"event":"run"')
[ "$runs" = 1 ] || site_fail "a resend ran again: $runs runs"
diff "$SITE/first" "$SITE/second" > /dev/null || site_fail "answers differ"
site_complete 0 "$body" > /dev/null || site_fail "no third answer"
runs=$(cat "$SITE"/e?.out | grep -c '"event":"run"')
[ "$runs" = 2 ] || site_fail "a request repeated after its end did not run again: $runs runs"

# The engine dies during the request.  The answer must still be complete.
site_complete 0 "${body/draft/long}" > "$SITE/moved" &
moved=$!
sleep 0.4
kill -9 "$(site_pid e1)"
wait "$moved" || site_fail "no answer after the engine died"
[ "$(grep -o 't[0-9]*-[0-9a-f]* ' "$SITE/moved" | wc -l)" = 20 ] ||
  site_fail "the answer is not complete: $(cat "$SITE/moved")"
grep -q '"event":"attempt_failed"' "$SITE/castillos-1.log" ||
  site_fail "no failed attempt was logged"

# The ledger dies during a call: the outcome is unknown and the call is not sent
# again.
kill -STOP "$(site_pid ledger-1)"
site_call 0 order-9 '{"amount":1}' > "$SITE/order" &
order=$!
sleep 0.3
kill -9 "$(site_pid ledger-1)"
wait "$order"
grep -q '"outcome":"unknown"' "$SITE/order" || site_fail "the outcome of the call is not unknown: $(cat "$SITE/order")"
[ "$(grep -c '"step":"send","peer":"ledger-1"' "$SITE/castillos-1.log")" = 1 ] ||
  site_fail "the call was not sent exactly once"
echo "route resend: ok"
