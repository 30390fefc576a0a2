# Callers send and resend calls that run at most once through random VMs while
# VMs are killed and restarted, or frozen and woken, one after the other.  What
# ran is taken from the plain service.  Usage: claim_storm.sh BUILD [SEEDS [S]]
set -u
BUILD=$1
BASE_PORT=23700
SEEDS=${2:-1}
STORM_S=${3:-10}
CALLERS=6
SITE_LEDGER_ARGS="--delay-ms 20"
. "$(dirname "$0")/../support/site.sh"

runs() { grep -c "\"key\":\"$1\"" "$SITE/ledger-1.out"; }

# Fails when "not run" was told of a key that had run.
check_told() {
  local key=$1 told=$2
  grep -q '"outcome":"not_run"' <<< "$told" || return 0
  grep -q 'an earlier one with the same key may have' <<< "$told" && return 0
  [ "$(runs "$key")" = 0 ] || echo "$key: not run, and ran: $told" >> "$SITE/wrong"
}

# caller SEED NUMBER: calls until the storm is over; an answer ends a key.
caller() {
  local n=0 key told tries
  RANDOM=$(($1 * 100 + $2))
  while [ -e "$SITE/storm" ]; do
    n=$((n + 1))
    key=s$1-c$2-$n
    for tries in 1 2 3; do
      told=$(site_call $((RANDOM % 3)) "$key" "{\"n\":$n}" --max-time 4 \
        2> /dev/null)
      check_told "$key" "$told"
      grep -q '"call"' <<< "$told" && break
    done
    echo "$key" >> "$SITE/keys"
  done
}

# Hurts one VM after the other, each back before the next.
storm() {
  local until=$((SECONDS + STORM_S)) vm name
  RANDOM=$1
  while [ "$SECONDS" -lt "$until" ]; do
    vm=$((RANDOM % 3))
    name=${SITE_VMS[vm]}
    if [ $((RANDOM % 2)) = 0 ]; then
      site_kill "$name"
      sleep 0.$((RANDOM % 9 + 1))
      site_start_vm "$vm"
    else
      kill -STOP "$(site_pid "$name")"
      sleep $((RANDOM % 3)).$((RANDOM % 9 + 1))
      kill -CONT "$(site_pid "$name")"
    fi
    sleep 0.$((RANDOM % 9 + 1))
  done
}

# Asks for KEY through every VM until each gives the same final answer.
settle_key() {
  local key=$1 n=${1##*-} vm told answers=
  for vm in 0 1 2; do
    told=$(site_call "$vm" "$key" "{\"n\":$n}" --max-time 9)
    check_told "$key" "$told"
    grep -q '"call"' <<< "$told" && answers+="$told"$'\n'
  done
  [ "$(sort -u <<< "${answers%$'\n'}" | wc -l)" -le 1 ] ||
    site_fail "$key: answers differ: $answers"
  [ -z "$answers" ] || [ "$(runs "$key")" = 1 ] ||
    site_fail "$key: answered, and ran $(runs "$key") times"
}

site_init
site_up || site_fail "site does not come up"
for seed in $(seq "$SEEDS"); do
  : > "$SITE/keys"
  : > "$SITE/storm"
  pids=
  for number in $(seq "$CALLERS"); do
    caller "$seed" "$number" &
    pids+=" $!"
  done
  storm "$seed"
  rm "$SITE/storm"
  wait $pids
  site_wait_revision 1 || site_fail "seed $seed: not back"
  for key in $(shuf -n 40 --random-source=<(yes "$seed") "$SITE/keys"); do
    settle_key "$key"
  done
  for key in $(cat "$SITE/keys"); do
    [ "$(runs "$key")" -le 1 ] || site_fail "seed $seed: $key ran twice"
  done
  [ ! -e "$SITE/wrong" ] || site_fail "seed $seed: $(cat "$SITE/wrong")"
  echo "seed $seed: $(wc -l < "$SITE/keys") keys, none ran twice"
done
echo "claim storm: ok"
