# Guards against a call that runs again when it is resent through another VM.
# It is resent while it runs, after its answer, after its owner was killed, and
# after all VMs restarted.  Each resend must get the first answer.
# Usage: claim_resend.sh BUILD
set -u
BUILD=$1
BASE_PORT=23000
SITE_LEDGER_ARGS="--delay-ms 400"
. "$(dirname "$0")/../support/site.sh"

runs() { grep -c "\"key\":\"$1\"" "$SITE/ledger-1.out"; }

site_init
site_up || site_fail "site does not come up"

site_call 0 order-1 '{"amount":100}' > "$SITE/first" &
first=$!
sleep 0.1
second=$(site_call 2 order-1 '{"amount":100}')
wait "$first"
[ "$second" = "$(cat "$SITE/first")" ] || site_fail "resend while it ran: $second"
grep -q '"call":1' "$SITE/first" || site_fail "the first call was not answered by its run: $(cat "$SITE/first")"

[ "$(site_call 1 order-1 '{"amount":999}' -o /dev/null -w '%{http_code}')" = 409 ] ||
  site_fail "another body with the same key was not refused with 409"

site_kill castillos-1
third=$(site_call 1 order-1 '{"amount":100}')
[ "$third" = "$second" ] ||
  site_fail "resend after its owner was killed: $third"

site_kill castillos-2 lascano-1
for i in 0 1 2; do site_start_vm "$i"; done
# A VM may refuse calls for some ms after it has the revision, until it is
# ready.
for i in 0 1 2; do
  site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz" ||
    site_fail "VM $i is not ready after the restart"
done
site_wait_revision 1 || site_fail "no declarations after the restart"
for i in 0 1 2; do
  again=$(site_call "$i" order-1 '{"amount":100}')
  [ "$again" = "$second" ] || site_fail "resend after the restart: $again"
done
[ "$(runs order-1)" = 1 ] || site_fail "ran $(runs order-1) times"
echo "claim resend: ok"
