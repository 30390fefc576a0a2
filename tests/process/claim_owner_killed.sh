# Guards against a call that runs twice, or gets a wrong outcome, because the
# owner of its claim was killed.  The owner gets SIGKILL at seeded moments:
# while it claims, before and after the first byte, and while the answer is
# recorded.  The caller resends through another VM.
# Usage: claim_owner_killed.sh BUILD [SEEDS]
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
  # The call takes about 20 ms, and 0 to 27 ms cover all its steps.
  after=0.0$(printf %02d $((seed * 7 % 28)))
  site_call 0 "$key" "{\"seed\":$seed}" > "$SITE/first" 2> /dev/null &
  first=$!
  sleep "$after"
  site_kill castillos-1
  wait "$first"
  reply=$(cat "$SITE/first")
  if grep -q '"outcome":"not_run"' <<< "$reply" && [ "$(runs "$key")" != 0 ]; then
    site_fail "seed $seed: ran, but the reply is not_run: $reply"
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
    [ "$ran" = 0 ] ||
      site_fail "seed $seed: ran, but the reply is not_run: $again"
    outcome=not_run
  else
    site_fail "seed $seed: no outcome: $again"
  fi
  echo "seed $seed: killed after $after s, ran $ran, resend got $outcome"
  site_start_vm 0
  site_wait "http://127.0.0.1:$BASE_PORT/readyz" ||
    site_fail "castillos-1 is not ready after its restart"
  site_wait_revision 1 ||
    site_fail "seed $seed: revision 1 is not in force on all VMs"
done
for seed in $(seq "$SEEDS"); do
  [ "$(runs "order-$seed")" -le 1 ] || site_fail "seed $seed ran twice"
done
echo "claim owner killed: ok"
