# Guards against calls that run twice or get a wrong outcome under many faults.
# Callers send and resend calls that run at most once through random VMs.
# Meanwhile one VM after the other is killed and restarted, or frozen and resumed.
# The log of the plain service shows what ran.
# Usage: claim_storm.sh BUILD [SEEDS [STORM_SECONDS]]
set -u
BUILD=$1
BASE_PORT=23700
SEEDS=${2:-1}
STORM_S=${3:-10}
CALLERS=6
SITE_LEDGER_ARGS="--delay-ms 20"
. "$(dirname "$0")/../support/site.sh"

runs() { grep -c "\"key\":\"$1\"" "$SITE/ledger-1.out"; }

# Records an error when the reply is not_run for a key that has run.
# check_reply KEY REPLY
check_reply() {
  local key=$1 reply=$2
  grep -q '"outcome":"not_run"' <<< "$reply" || return 0
  grep -q 'an earlier one with the same key may have' <<< "$reply" && return 0
  [ "$(runs "$key")" = 0 ] ||
    echo "$key: ran, but the reply is not_run: $reply" >> "$SITE/wrong"
}

# Makes calls until the storm ends.  Each key is tried three times, or until it
# has an answer.  caller SEED NUMBER
caller() {
  local n=0 key reply tries
  RANDOM=$(($1 * 100 + $2))
  while [ -e "$SITE/storm" ]; do
    n=$((n + 1))
    key=s$1-c$2-$n
    for tries in 1 2 3; do
      reply=$(site_call $((RANDOM % 3)) "$key" "{\"n\":$n}" --max-time 4 \
        2> /dev/null)
      check_reply "$key" "$reply"
      grep -q '"call"' <<< "$reply" && break
    done
    echo "$key" >> "$SITE/keys"
  done
}

# Kills or freezes one VM at a time, and restarts or resumes it before the next.
# storm SEED
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

# Resends KEY through every VM and fails when their answers differ, or when the
# key has an answer and did not run once.  check_key KEY
check_key() {
  local key=$1 n=${1##*-} vm reply answers=
  for vm in 0 1 2; do
    reply=$(site_call "$vm" "$key" "{\"n\":$n}" --max-time 9)
    check_reply "$key" "$reply"
    grep -q '"call"' <<< "$reply" && answers+="$reply"$'\n'
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
  site_wait_revision 1 ||
    site_fail "seed $seed: revision 1 is not in force on all VMs"
  for key in $(shuf -n 40 --random-source=<(yes "$seed") "$SITE/keys"); do
    check_key "$key"
  done
  for key in $(cat "$SITE/keys"); do
    [ "$(runs "$key")" -le 1 ] || site_fail "seed $seed: $key ran twice"
  done
  [ ! -e "$SITE/wrong" ] || site_fail "seed $seed: $(cat "$SITE/wrong")"
  echo "seed $seed: $(wc -l < "$SITE/keys") keys, none ran twice"
done
echo "claim storm: ok"
