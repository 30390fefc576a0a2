# A caller that sends its request again while the first runs gets the answer of
# the first; an engine that dies is retried elsewhere, and a call that may have
# run and must not be repeated is not.  Usage: route_resend.sh BUILD
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
[ "$runs" = 2 ] || site_fail "what has ended is not run again: $runs runs"

# The engine that runs it dies; the answer is whole all the same.
site_complete 0 "${body/draft/long}" > "$SITE/moved" &
moved=$!
sleep 0.4
kill -9 "$(site_pid e1)"
wait "$moved" || site_fail "no answer after the engine died"
[ "$(grep -o 't[0-9]*-[0-9a-f]* ' "$SITE/moved" | wc -l)" = 20 ] ||
  site_fail "not whole: $(cat "$SITE/moved")"
grep -q '"event":"attempt_failed"' "$SITE/castillos-1.log" ||
  site_fail "no attempt failed"

# The ledger dies in the call: unknown, and not sent again.
kill -STOP "$(site_pid ledger-1)"
site_call 0 order-9 '{"amount":1}' > "$SITE/order" &
order=$!
sleep 0.3
kill -9 "$(site_pid ledger-1)"
wait "$order"
grep -q '"outcome":"unknown"' "$SITE/order" || site_fail "$(cat "$SITE/order")"
[ "$(grep -c '"step":"send","peer":"ledger-1"' "$SITE/castillos-1.log")" = 1 ] ||
  site_fail "sent more than once"
echo "route resend: ok"
