# Guards against a call that runs twice because its claim was abandoned while
# the owner was frozen.  The owner of a claim gets SIGSTOP at a seeded moment, and
# SIGCONT once a resend through another VM has been answered.  It must not send a
# call that another VM ran.
# Usage: claim_owner_frozen.sh BUILD [SEEDS]
set -u
BUILD=$1
BASE_PORT=23200
SEEDS=${2:-4}
SITE_LEDGER_ARGS="--delay-ms 10"
SITE_SECONDS=${SITE_SECONDS:-110}
. "$(dirname "$0")/../support/site.sh"

runs() { grep -c "\"key\":\"$1\"" "$SITE/ledger-1.out"; }

site_init
site_up || site_fail "site does not come up"
for seed in $(seq "$SEEDS"); do
  key=order-$seed
  after=0.0$(printf %02d $((seed * 5 % 24)))
  site_call 0 "$key" "{\"seed\":$seed}" > "$SITE/first" 2> /dev/null &
  first=$!
  sleep "$after"
  kill -STOP "$(site_pid castillos-1)"
  again=$(site_call 2 "$key" "{\"seed\":$seed}")
  kill -CONT "$(site_pid castillos-1)"
  wait "$first"
  reply=$(cat "$SITE/first")
  sleep 0.5
  ran=$(runs "$key")
  [ "$ran" -le 1 ] || site_fail "seed $seed: ran $ran times"
  for answer in "$again" "$reply"; do
    if grep -q '"call"' <<< "$answer" && [ "$ran" != 1 ]; then
      site_fail "seed $seed: answered without a run: $answer"
    fi
  done
  for answer in "$again" "$reply"; do
    if grep -q '"outcome":"not_run"' <<< "$answer" && [ "$ran" != 0 ] &&
      ! grep -q 'an earlier one with the same key may have' <<< "$answer"; then
      site_fail "seed $seed: ran, but the reply is not_run: $answer"
    fi
  done
  echo "seed $seed: frozen after $after s, ran $ran; owner: ${reply:0:60};" \
    "resend: ${again:0:60}"
done
echo "claim owner frozen: ok"
