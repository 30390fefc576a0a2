# Guards against a request that runs twice, or looks complete or not run, as the entry VM
# that serves it for another one is lost or stops.  Usage: platform_helper_lost.sh BUILD
set -u
BUILD=$1
BASE_PORT=31800
. "$(dirname "$0")/../support/platform_site.sh"
. "$(dirname "$0")/../support/platform_cut.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# send ID PATH: sends a request to entry VM 1; its answer and exit status go to files
send() {
  platform_request 1 "$1" "$2" -X POST -d "$1" > "$SITE/$1.answer" 2>&1
  echo $? > "$SITE/$1.exit"
}

# begin ID PATH: sends a request in the background; finish waits for all of them
begin() {
  send "$@" &
  PENDING="$PENDING $!"
}
finish() {
  # shellcheck disable=SC2086
  wait $PENDING
  PENDING=
}
PENDING=

# runs ID: prints how often the request ran
runs() { cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1\""; }

status() { tail -n 1 "$SITE/$1.answer"; }

# Entry VM 1 has lost all upstreams, and entry VM 2 alone can help.
cut_up 1 2
cut 1 refuse 4 7
for i in $(seq 8); do send "first-$i" /pay/good; send "first-chat-$i" /chat/stream; done
sleep 1
for i in $(seq 10); do send "ok-$i" /pay/good; done
[ "$(cat "$SITE"/ok-*.answer | grep -c '^200$')" = 10 ] || fault "not all of 10 requests are helped"
grep -q '"id":"ok-1".*"helper":"127.0.12.2"' "$SITE/entry-1.out" || sleep 0.5
grep -q '"id":"ok-1".*"helper":"127.0.12.2"' "$SITE/entry-1.out" || fault "entry VM 1 does not name its helper"
grep -q '"id":"ok-1".*"relayed":1' "$SITE/entry-2.out" || fault "entry VM 2 has no line of the request"

# Each run is counted once.
all_runs() { cat "$SITE"/[rp][12].out | grep -c '"run":'; }
all_counted() { [ "$(platform_counted)" = "$(all_runs)" ]; }
platform_wait_ms 12000 all_counted || fault "counted $(platform_counted) of $(all_runs) runs"
echo "helped: $(all_runs) runs, counted $(platform_counted)"

# Nobody else may use the port.
code=$(curl -s -o /dev/null -w '%{http_code}' -X POST -d x -H 'Host: h.example' -H 'X-Request-Id: stranger' \
  -H "Authorization: Bearer $PLATFORM_KEY" -H 'X-Briarrack-Relay: 2 sha256:0' \
  "http://127.0.12.2:$((BASE_PORT + 9))/pay/good")
[ "$code" = 401 ] || fault "a request without proof got $code"
[ "$(runs stranger)" = 0 ] || fault "a request without proof ran"

# The helper stops as planned: what it has taken is answered.
for i in 1 2 3 4; do begin "stop-$i" /pay/slow; done
begin stop-chat /chat/stream
sleep 0.15
kill -TERM "$(site_pid entry-2)"
finish
for i in 1 2 3 4; do
  [ "$(status "stop-$i")" = 200 ] || fault "stop-$i: $(cat "$SITE/stop-$i.answer")"
  [ "$(runs "stop-$i")" = 1 ] || fault "stop-$i ran $(runs "stop-$i") times"
done
[ "$(cat "$SITE/stop-chat.exit")" = 0 ] && grep -q 'part 6' "$SITE/stop-chat.answer" || fault "stop-chat is not complete"
echo "stop: $(for i in 1 2 3 4; do status "stop-$i"; done | paste -sd ' ')"

# It is killed while it serves: calls may have run and say so, streams look broken.
sleep 4
site_kill entry-2 2> /dev/null
restart 2
platform_wait platform_entry_ready 2 || site_fail "entry VM 2 is not ready again"
sleep 1
send back /pay/good
[ "$(status back)" = 200 ] || fault "no help after the restart: $(cat "$SITE/back.answer")"
for i in 1 2 3 4; do begin "kill-$i" /pay/slow; done
begin kill-look /look/slow
begin kill-chat /chat/stream
sleep 0.15
site_kill entry-2 2> /dev/null
finish
for i in 1 2 3 4; do
  [ "$(status "kill-$i")" = 502 ] && grep -q '"outcome":"unknown"' "$SITE/kill-$i.answer" ||
    fault "kill-$i: $(cat "$SITE/kill-$i.answer")"
  [ "$(runs "kill-$i")" -le 1 ] || fault "kill-$i ran $(runs "kill-$i") times"
done
echo "kill: $(for i in 1 2 3 4; do status "kill-$i"; done | paste -sd ' ')," \
  "stream: exit $(cat "$SITE/kill-chat.exit"), $(grep -c '^id' "$SITE/kill-chat.answer") events"
[ "$(cat "$SITE/kill-chat.exit")" = 0 ] && [ "$(status kill-chat)" = 200 ] && fault "kill-chat looks complete"

# Without a helper, callers are told at once that nothing ran.
sleep 3.5
began=$(date +%s%3N)
send alone /pay/good
took=$(($(date +%s%3N) - began))
[ "$(status alone)" = 503 ] && grep -q '"outcome":"not_run"' "$SITE/alone.answer" ||
  fault "alone: $(cat "$SITE/alone.answer")"
[ "$took" -le 300 ] || fault "alone: refused after $took ms"
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "helpers lost: nothing ran twice, nothing looks complete that is not"
