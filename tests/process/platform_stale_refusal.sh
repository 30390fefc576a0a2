# Checks that a refusal of an earlier request, written once more on a kept connection, is
# taken for no other request: with another id or without one, the request it precedes gets
# its own answer, runs once, and nothing that the refusal states is used.
# Usage: platform_stale_refusal.sh BUILD
set -u
BUILD=$1
BASE_PORT=31200
. "$(dirname "$0")/../support/platform_site.sh"

REQUESTS=12
FAILED=

# check NAME PATH TEXT: sends requests one after another and checks that each is
# answered 200 with TEXT and runs once, and that a refusal preceded some of them
check() {
  local i answer runs stale wrong=0 twice=0
  for i in $(seq $REQUESTS); do
    answer=$(platform_request 1 "$1-$i" "$2" -X POST -d "$1 $i")
    { [ "$(tail -n 1 <<< "$answer")" = 200 ] && grep -q "$3" <<< "$answer"; } || wrong=$((wrong + 1))
    runs=$(cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1-$i\"")
    [ "$runs" -le 1 ] || twice=$((twice + 1))
  done
  stale=$(cat "$SITE"/[rp][12].out | grep -c "\"stale\":\"$1-")
  echo "$1: $stale of $REQUESTS preceded by a refusal, $wrong answered wrongly, $twice ran twice" >&2
  [ "$stale" -ge 4 ] || FAILED="$FAILED $1: $stale refusals, at least 4 are needed."
  [ "$((wrong + twice))" = 0 ] || FAILED="$FAILED $1: $wrong answered wrongly, $twice ran twice."
}

platform_up 1 1
# On a new connection only the request itself can be answered, also without its id.
answer=$(platform_request 1 fresh /pay/unnamed-full -X POST -d body)
[ "$(tail -n 1 <<< "$answer")" = 503 ] && grep -q '"outcome":"not_run"' <<< "$answer" ||
  FAILED="a refusal without an id on a new connection: $answer"
# A connection is closed after such a refusal, so that every second request reuses one.
check pay-unnamed /pay/stale-unnamed/good 'good answer'
check look-unnamed /look/stale-unnamed/good 'good answer'
check chat-unnamed /chat/stale-unnamed/stream 'part 6'
check draft-unnamed /draft/stale-unnamed/stream 'part 6'
check pay-named /pay/stale-named/good 'good answer'
check chat-named /chat/stale-named/stream 'part 6'

sleep 0.5 # the log is written a few times per second
for event in 'upstream leaves' 'upstream limits requests' 'upstream held off'; do
  n=$(grep -c "\"event\":\"$event\"" "$SITE/entry-1.out")
  [ "$n" = 0 ] || FAILED="$FAILED '$event' from an answer to another request."
done
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "refusals of other requests: skipped, nothing in them used"
