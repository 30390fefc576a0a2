# Guards against an answer without length or chunks that looks complete because its
# upstream's crash closed the connection, between two events or inside a plain body.
# Usage: platform_unframed_crash.sh BUILD
set -u
BUILD=$1
BASE_PORT=31760
. "$(dirname "$0")/../support/platform_site.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# expect ID PATH complete|broken EVENTS RUNS: sends a request, and checks what its caller
# gets and how often it runs
expect() {
  local how=complete ids runs out="$SITE/$1.answer"
  platform_request 1 "$1" "$2" -X POST -d "$1" > "$out" 2>&1 || how=broken
  [ "$(tail -n 1 "$out")" = 502 ] && how=broken
  ids=$(sed -n 's/^id: *\([0-9]*\).*/\1/p' "$out" | paste -sd ' ')
  runs=$(cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1\"")
  echo "$1 $2: $how, events $ids, $runs runs"
  [ "$how" = "$3" ] || fault "$2 is $how, expected $3"
  [ "$ids" = "$4" ] || fault "$2 passes the events $ids"
  [ "$runs" = "$5" ] || fault "$2 ran $runs times, expected $5"
}

# Waits until the upstreams that crashed are up and in use again.
upstreams_back() { sleep 2.5; }

platform_up 1 1
all='1 2 3 4 5 6'
expect chat-sound /chat/unframed-stream complete "$all" 1
expect pay-sound /pay/unframed complete '' 1
expect chat-cut /chat/unframed-stream-crash broken '1 2 3' 1
upstreams_back
expect draft-cut /draft/unframed-stream-crash complete "$all" 2
upstreams_back
# The resume shows that nothing is missing.
expect draft-whole /draft/unframed-whole-crash complete "$all" 2
upstreams_back
expect pay-cut /pay/unframed-crash broken '' 1
upstreams_back
expect look-cut /look/unframed-crash broken '' 2

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "answers without framing: complete only from an upstream that still runs"
