# kill -9 of a claim's owner at seeded moments of a call: while it claims,
# before and after the first byte, while the answer is recorded.  The caller
# resends through another VM.  Usage: claim_owner_killed.sh BUILD [SEEDS]
set -u
BUILD=$1
BASE_PORT=23100
SEEDS=${2:-10}
SITE_LEDGER_ARGS="--delay-ms 10"
. "$(dirname "$0")/../support/site.sh"

runs() { grep -c "\"key\":\"$1\"" "$SITE/ledger-1.out"; }

site_init
site_up || site_fail "site does not come up"
for seed in $(seq "$SEEDS"); do
  key=order-$seed
  # The call takes some 20 ms: 0 to 27 ms are its steps.
  after=0.0$(printf %02d $((seed * 7 % 28)))
  site_call 0 "$key" "{\"seed\":$seed}" > "$SITE/first" 2> /dev/null &
  first=$!
  sleep "$after"
  site_kill castillos-1
  wait "$first"
  told=$(cat "$SITE/first")
  if grep -q '"outcome":"not_run"' <<< "$told" && [ "$(runs "$key")" != 0 ]; then
    site_fail "seed $seed: told not run, and it ran: $told"
  fi
  again=$(site_call 1 "$key" "{\"seed\":$seed}")
  ran=$(runs "$key")
  [ "$ran" -le 1 ] || site_fail "seed $seed: ran $ran times"
  if grep -q '"call"' <<< "$again"; then
    [ "$ran" = 1 ] || site_fail "seed $seed: answered, and ran $ran times"
    outcome=answer
  elif grep -q '"outcome":"unknown"' <<< "$again"; then
    outcome=unknown
  elif grep -q '"outcome":"not_run"' <<< "$again"; then
    [ "$ran" = 0 ] || site_fail "seed $seed: told not run, and ran: $again"
    outcome=not_run
  else
    site_fail "seed $seed: no outcome: $again"
  fi
  echo "seed $seed: killed after $after s, ran $ran, resend got $outcome"
  site_start_vm 0
  site_wait "http://127.0.0.1:$BASE_PORT/readyz" || site_fail "no restart"
  site_wait_revision 1 || site_fail "seed $seed: not back"
done
for seed in $(seq "$SEEDS"); do
  [ "$(runs "order-$seed")" -le 1 ] || site_fail "seed $seed ran twice"
done
echo "claim owner killed: ok"
