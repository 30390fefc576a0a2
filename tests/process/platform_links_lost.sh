# Guards against an entry VM that takes requests which it cannot serve, as it has lost its
# links to the upstreams while other entry VMs have theirs: hanging and refused, of both
# services and of one.  Usage: platform_links_lost.sh BUILD
set -u
BUILD=$1
BASE_PORT=31780
. "$(dirname "$0")/../support/platform_site.sh"
. "$(dirname "$0")/../support/platform_cut.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# cut_anew MODE FIRST LAST: starts entry VM 1 again, without connections to upstreams, and
# cuts it off
cut_anew() {
  restart 1
  platform_wait platform_entry_ready 1 || site_fail "entry VM 1 is not ready again"
  cut 1 "$@"
}

# one NAME PATH: sends a request to entry VM 1 and notes whether it is served
one() {
  local out="$SITE/$1.answer"
  platform_request 1 "$1" "$2" -X POST -d "$1" > "$out" 2>&1 && [ "$(tail -n 1 "$out")" = 200 ] &&
    touch "$SITE/$1.served"
}

# batch NAME ROUNDS PATH...: sends requests to the paths, side by side in each round
batch() {
  local name=$1 rounds=$2 i path pids
  shift 2
  for i in $(seq "$rounds"); do
    pids=
    for path in "$@"; do
      one "$name-$i-$(basename "$(dirname "$path")")" "$path" &
      pids="$pids $!"
    done
    # shellcheck disable=SC2086
    wait $pids
    sleep 0.1
  done
}

# check NAME ROUNDS PATH...: a request each 0.1 s or so for three seconds, in which the VM
# may find out; from then on all but one in 50 must be served at the first try, and none
# may run twice
check() {
  local name=$1 rounds=$2 sent served twice
  shift 2
  batch "$name-first" 8 "$@"
  sleep 1
  batch "$name" "$rounds" "$@"
  sent=$((rounds * $#))
  served=$(ls "$SITE" | grep -c "^$name-[0-9].*served")
  echo "$name: $served of $sent served"
  [ $((served * 50)) -ge $((sent * 49)) ] || fault "$name: $served of $sent were served"
  twice=$(grep -ho "\"run\":\"$name[^\"]*\"" "$SITE"/[rp][12].out | sort | uniq -d | wc -l)
  [ "$twice" = 0 ] || fault "$name: $twice requests ran twice"
}

cut_up 1 3
all="/look/good /pay/good /chat/stream /draft/stream"
# shellcheck disable=SC2086
{
  check calm 2 $all
  cut_anew hang 4 7
  check hang 10 $all
  heal 1
  sleep 2
  check healed 4 $all
  cut_anew refuse 4 7
  check refuse 10 $all
  cut_anew hang 6 7
  check ledger 10 $all
  cut_anew refuse 4 5
  check llm 10 $all
}

# The entry VMs that could help are cut off too: nothing can be served, and callers are told
# so at once.
for i in 1 2 3; do restart "$i"; done
for i in 1 2 3; do
  platform_wait platform_entry_ready "$i" || site_fail "entry VM $i is not ready again"
  cut "$i" refuse 4 7
done
batch none 12 /pay/good
sleep 1
out=$(platform_request 1 none-last /pay/good -X POST -d none -i -o /dev/stdout -w '%{time_total}\n')
seconds=$(tail -n 1 <<< "$out")
echo "none: $(head -n 1 <<< "$out") in $seconds s"
grep -q '^HTTP/1.1 503' <<< "$out" && grep -qi '^retry-after:' <<< "$out" ||
  fault "none: not refused: $out"
awk "BEGIN { exit !($seconds < 0.3) }" || fault "none: refused after $seconds s"
grep -q '"run":"none' "$SITE"/[rp][12].out && fault "none: a refused request ran"

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "links lost: other entry VMs serve the callers"
