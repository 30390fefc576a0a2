# Guards against a stream without length or chunks that looks complete because its upstream, which
# is listed as draining or was removed from the list, ended early.
# Usage: platform_unframed_leaving.sh BUILD
set -u
BUILD=$1
BASE_PORT=32460
. "$(dirname "$0")/../support/platform_site.sh"

EVENTS=100
BORN=1000
FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# state UPSTREAM STATE: how the platform lists it
state() { curl -s -o /dev/null -X PUT "http://127.0.0.1:$((BASE_PORT + 3))/state/$1/$2"; }

# send ID PATH: sends a request; its answer and exit status go to files
send() {
  platform_request 1 "$1" "$2" -X POST -d "$1" > "$SITE/$1.answer" 2>&1
  echo $? > "$SITE/$1.exit"
}

events() { grep -c '^id:' "$SITE/$1.answer"; }

# check ID complete|broken: a stream that looks complete has all its events
check() {
  local how=broken
  [ "$(cat "$SITE/$1.exit")" = 0 ] && how=complete
  echo "$1: $how, $(events "$1") events" >&2
  [ $how = "$2" ] || fault "$1 is $how, expected $2"
  [ $how = broken ] || [ "$(events "$1")" = $EVENTS ] || fault "$1 looks complete with $(events "$1") events"
}

r1_is_used() {
  send "probe-$(date +%s%N)" /chat/stream
  grep -q '"run"' "$SITE/r1.out"
}

# streams NAME STATE: streams run at both upstreams; r1 is listed as STATE and ends
streams() {
  local i pids=
  for i in 1 2 3 4 5 6; do
    send "$1-chat-$i" /chat/unframed-long &
    pids="$pids $!"
    send "$1-draft-$i" /draft/unframed-long &
    pids="$pids $!"
  done
  sleep 0.2
  state r1 "$2"
  sleep 1.4 # the entry VM has the new list
  site_kill r1 2> /dev/null
  # shellcheck disable=SC2086
  wait $pids
  for i in 1 2 3 4 5 6; do
    grep -q "\"run\":\"$1-chat-$i\"" "$SITE/r1.out" && check "$1-chat-$i" broken
    grep -q "\"run\":\"$1-chat-$i\"" "$SITE/r2.out" && check "$1-chat-$i" complete
    check "$1-draft-$i" complete # it goes on at the other upstream
  done
  [ "$(cat "$SITE"/$1-chat-*.exit | grep -vc '^0$')" -ge 1 ] || fault "$1: no stream ran at the upstream that ended"
  site_start r1 "$BUILD/fake_runner" --port $((BASE_PORT + 4)) --id r1
  BORN=$((BORN + 1000))
  curl -s -o /dev/null -X PUT "http://127.0.0.1:$((BASE_PORT + 3))/born/r1/$BORN"
  state r1 ready
  platform_wait r1_is_used || site_fail "r1 is not used again"
}

platform_up 1 1
streams listed ready
streams draining draining
streams removed gone

# An upstream that leaves and still runs when its answer ends is believed.
send warm /chat/unframed-long &
sleep 0.2
state r1 draining
state r2 draining
wait $!
check warm complete
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "streams that a close ends: complete only from an upstream that still runs"
