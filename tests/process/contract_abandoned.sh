# Guards against accepted work that stops when its caller disconnects.  A caller
# disconnects in the middle of a long answer and reads the answer more than half
# a minute later through another VM.  It must be complete after a single run.
# Usage: contract_abandoned.sh BUILD
set -u
BUILD=$1
BASE_PORT=24950
. "$(dirname "$0")/../support/site.sh"
site_init
site_up --token-ms 100 > /dev/null || site_fail "site does not come up"
site_complete 0 '{"model":"contract-lm","stream":true,"max_tokens":360,
  "messages":[{"role":"user","content":"ledger draft"}]}' \
  --max-time 2 -D "$SITE/head" > "$SITE/start" 2> /dev/null
contract=$(sed -n 's/\r$//; s/^X-Contract-Id: //p' "$SITE/head")
[ -n "$contract" ] || site_fail "no X-Contract-Id: the request was not accepted"
sleep 33
curl -sS -N --max-time 40 -H "Authorization: Bearer $SITE_KEY" \
  "http://127.0.0.1:$((BASE_PORT + 1))/v1/contracts/$contract" > "$SITE/whole"
[ "$(grep -c '^id: ' "$SITE/whole")" = 361 ] ||
  site_fail "the answer has $(grep -c '^id: ' "$SITE/whole") of 361 events: $(tail -3 "$SITE/whole")"
[ "$(cat "$SITE"/e?.out | grep -c '"event":"run"')" = 1 ] ||
  site_fail "it ran more than once"
echo "abandoned: ok"
