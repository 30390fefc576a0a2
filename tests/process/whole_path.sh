# A streamed answer, an answer in one piece and a call that must run at most once,
# through separate processes.  Usage: whole_path.sh BUILD
set -u
BUILD=$1
BASE_PORT=21000
. "$(dirname "$0")/../support/site.sh"
site_init
site_up || site_fail "site does not come up"

stream=$(site_complete 0 '{"model":"contract-lm","stream":true,"max_tokens":5,
  "messages":[{"role":"user","content":"draft"}]}')
[ "$(grep -c '^id: ' <<< "$stream")" = 6 ] || site_fail "the stream does not have 6 events: $stream"
grep -q '^data: \[DONE\]$' <<< "$stream" || site_fail "the stream has no [DONE]: $stream"

whole=$(site_complete 2 '{"model":"contract-lm","max_tokens":5,
  "messages":[{"role":"user","content":"draft"}]}')
text=$(grep -o 't[0-9]-[0-9a-f]* ' <<< "$stream" | tr -d '\n')
grep -qF "\"content\":\"$text\"" <<< "$whole" || site_fail "the answer in one piece differs from the stream: $whole"

order=$(site_call 1 order-1 '{"amount":100}')
grep -q '"call":1' <<< "$order" || site_fail "the call was not answered by its first run: $order"
[ "$(grep -c order-1 "$SITE/ledger-1.out")" = 1 ] || site_fail "order-1 did not run exactly once"
grep -q 'X-Contract-Id: ' <<< "$(site_call 1 order-2 '{}' -i)" ||
  site_fail "the answer has no X-Contract-Id"
echo "whole path: ok"
