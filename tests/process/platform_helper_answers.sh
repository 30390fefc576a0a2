# Guards against a request that runs twice, or is answered as not run, because the answer of
# an upstream that an entry VM forwards to another one is taken for its own refusal.
# Usage: platform_helper_answers.sh BUILD
set -u
BUILD=$1
BASE_PORT=32400
. "$(dirname "$0")/../support/platform_site.sh"
. "$(dirname "$0")/../support/platform_cut.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# send ID PATH: sends a request to entry VM 1; its answer goes to files
send() {
  platform_request 1 "$1" "$2" -X POST -d "$1" -D "$SITE/$1.head" > "$SITE/$1.answer" 2>&1
}

# runs ID: prints how often the request ran
runs() { cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1\""; }

status() { tail -n 1 "$SITE/$1.answer"; }

# check NAME PATH STATUS MAX [TEXT]: sends requests one after another and checks that each gets STATUS
# and TEXT, and ran once to MAX times, or not at all if MAX is 0
check() {
  local name=$1 i id ran
  for i in 1 2 3 4; do
    id=$name-$i
    send "$id" "$2"
    ran=$(runs "$id")
    [ "$(status "$id")" = "$3" ] || fault "$id: status $(status "$id"), not $3"
    [ "$ran" -le "$4" ] && { [ "$ran" -ge 1 ] || [ "$4" = 0 ]; } || fault "$id ran $ran times, not 1 to $4"
    [ -z "${5:-}" ] || grep -q "$5" "$SITE/$id.answer" || fault "$id: $(cat "$SITE/$id.answer")"
    grep -qi '^X-Briarrack' "$SITE/$id.head" && fault "$id: the caller got a field between entry VMs"
  done
}

# Entry VM 1 has lost all upstreams; 2 and 3 help.
cut_up 1 3
cut 1 refuse 4 7
for i in $(seq 8); do send "first-$i" /pay/good; send "first-chat-$i" /chat/stream; done
sleep 1

check good /pay/good 200 1 'good answer'
check signed /pay/error 500 1 broken
check unsigned /pay/unsigned-error 500 1 broken
check missing /pay/unsigned-missing 404 1 missing
check forged /pay/forged-error 500 1 broken
check interim /pay/interim-error 500 1 broken
check unstamped /pay/unsigned 502 1 '"outcome":"unknown"'
check unpromised /pay/unpromised 502 1 '"outcome":"unknown"'
check unavailable /pay/unavailable 502 1 '"outcome":"unknown"'
check reset /pay/reset 502 1 '"outcome":"unknown"'
check half /pay/truncated 502 1 '"outcome":"unknown"'
check look-unsigned /look/unsigned-error 500 2 broken
check chat-unsigned /chat/unsigned-error 500 1 broken
check draft-unsigned /draft/unsigned-error 500 2 broken

# A head that is as long as callers may send.
long=$(printf '%7850s' '' | tr ' ' x)
platform_request 1 long /pay/good -X POST -d long -H "X-Long: $long" > "$SITE/long.answer" 2>&1
[ "$(status long)" = 200 ] || fault "long: $(cat "$SITE/long.answer")"

# An upstream that refuses has not run the request, and neither has a helper.
check full /pay/full 503 0 '"outcome":"not_run"'

sleep 0.5 # the log is written a few times per second
grep -q '"id":"unsigned-1".*"helper":"127.0.12.[23]"' "$SITE/entry-1.out" || fault "unsigned-1 was not relayed"

# The helpers stand still until after the deadline, and then answer: one request reaches them
# before that, the other one meanwhile.
pids="$(site_pid entry-2) $(site_pid entry-3)"
send late-1 /pay/slow &
sent=$!
sleep 0.15
# shellcheck disable=SC2086
kill -STOP $pids
send late-2 /pay/unsigned-error
sleep 0.5
# shellcheck disable=SC2086
kill -CONT $pids
wait $sent
sleep 1
for id in late-1 late-2; do
  [ "$(status $id)" = 504 ] || fault "$id: $(cat "$SITE/$id.answer")"
  [ "$(runs $id)" -le 1 ] || fault "$id ran $(runs $id) times"
done
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "answers of helpers: nothing ran twice, nothing that ran was answered as not run"
