# Guards against a second run of a call whose outcome is unknown because its
# upstream crashed during the call.  Resends must get the outcome unknown too,
# and the claim must be listed.  An operator can settle it, but only once the
# owner can no longer send.  Usage: claim_unknown.sh BUILD
set -u
BUILD=$1
BASE_PORT=23300
SITE_LEDGER_ARGS="--crash-on poison"
. "$(dirname "$0")/../support/site.sh"

server="--server 127.0.0.1:$((BASE_PORT + 11))"

site_init
site_up || site_fail "site does not come up"
first=$(site_call 0 order-1 '{"poison":1}')
grep -q '"outcome":"unknown"' <<< "$first" || site_fail "the outcome of the first call is not unknown: $first"
again=$(site_call 1 order-1 '{"poison":1}')
grep -q '"outcome":"unknown"' <<< "$again" || site_fail "the outcome of a resend is not unknown: $again"
[ "$(grep -c order-1 "$SITE/ledger-1.out")" = 1 ] ||
  site_fail "order-1 did not run exactly once"

list=$("$BUILD/briarrack" get claims $server)
grep -q '^alcornocales/ledger/order-1  unknown' <<< "$list" ||
  site_fail "the claim is not listed as unknown: $list"
"$BUILD/briarrack" settle alcornocales/ledger/order-1 --as answered $server \
  2> "$SITE/early" && site_fail "settled while the owner might still send"
grep -q 'may still send' "$SITE/early" || site_fail "the refusal to settle has another reason: $(cat "$SITE/early")"
for i in $(seq 60); do
  "$BUILD/briarrack" settle alcornocales/ledger/order-1 --as answered $server \
    > /dev/null 2>&1 && break
  sleep 0.5
done
settled=$(site_call 2 order-1 '{"poison":1}')
grep -q '"code":"answer_gone"' <<< "$settled" || site_fail "resend after the settlement: $settled"
grep -q '"outcome":"answered"' <<< "$settled" || site_fail "resend after the settlement: $settled"
[ -z "$("$BUILD/briarrack" get claims $server)" ] ||
  site_fail "the settled claim is still listed"
[ "$(grep -c order-1 "$SITE/ledger-1.out")" = 1 ] ||
  site_fail "order-1 ran again"
echo "claim unknown: ok"
