# Guards against an answer whose head is not sound and that reaches a caller, or lets it wait:
# a status other than 100 to 599, a byte that no name of a field may hold, a control character.
# The upstream keeps the connection open behind it.
# Usage: platform_unsound_heads.sh BUILD
set -u
BUILD=$1
BASE_PORT=22300
SITE_SECONDS=250
. "$(dirname "$0")/../support/platform_site.sh"
. "$(dirname "$0")/../support/platform_cut.sh"
. "$(dirname "$0")/../support/abrupt.sh"

FAILED=

# Least time, in milliseconds, that all routes allow; a broken answer takes none of it.
DEADLINE_MS=1000

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

platform_upstreams() { abrupt_upstreams; }

# send ENTRY ID ROUTE FIRST_LINE FIELD: sends a request that is answered with a head of these
# lines, printf formats, and a body; sets STATUS, MS and RUNS
send() {
  local began
  printf "$4\r\n$STAMP\r\nX-Request-Id: $2\r\n$EVENT_STREAM\r\n$5Content-Length: 20\r\n\r\nid: 1\ndata: part 1\n\n" |
    abrupt_body "$SITE/body" keep 0
  began=$(date +%s%3N)
  STATUS=$(platform_request "$1" "$2" "/$3/x" -X POST -D "$SITE/$2.head" -o "$SITE/$2.answer" \
    --data-binary "@$SITE/body")
  MS=$(($(date +%s%3N) - began))
  RUNS=$(grep -c "\"run\":\"$2\"" "$SITE/abrupt.out")
}

# refused NAME ENTRY FIRST_LINE [FIELD]: callers get 502 at once, and nothing of the answer
refused() {
  local route max id
  for route in pay look chat draft; do
    id=$1-$route-$2
    send "$2" "$id" "$route" "$3" "${4:-}"
    echo "$id: $STATUS, $RUNS runs$([ "$MS" -lt $DEADLINE_MS ] || echo ", late")"
    [ "$STATUS" = 502 ] || fault "$id: status $STATUS, not 502: $(head -c 200 "$SITE/$id.answer")"
    grep -q '"outcome":"unknown"' "$SITE/$id.answer" || fault "$id: $(head -c 200 "$SITE/$id.answer")"
    [ "$MS" -lt $DEADLINE_MS ] || fault "$id: answered after $MS ms"
    max=1
    case $route in look | draft) max=2 ;; esac
    [ "$RUNS" -ge 1 ] && [ "$RUNS" -le "$max" ] || fault "$id: $RUNS runs, not 1 to $max"
  done
}

# accepted NAME ENTRY FIRST_LINE STATUS [FIELD]: callers get the answer
accepted() {
  local route id
  for route in pay look chat draft; do
    id=$1-$route-$2
    send "$2" "$id" "$route" "$3" "${5:-}"
    [ "$STATUS" = "$4" ] || fault "$id: status $STATUS, not $4"
    grep -q 'part 1' "$SITE/$id.answer" || fault "$id: $(head -c 200 "$SITE/$id.answer")"
  done
  echo "$1: $4"
}

OK='HTTP/1.1 200 OK'

# all ENTRY
all() {
  local status
  for status in 000 0 00 099 20 020 0200 600 999 1000; do
    refused "status-$status" "$1" "HTTP/1.1 $status Trouble"
  done
  refused status-signed "$1" 'HTTP/1.1 +200 OK'
  refused status-word "$1" 'HTTP/1.1 2O0 OK'
  refused status-joined "$1" 'HTTP/1.1 200OK'
  refused status-101 "$1" 'HTTP/1.1 101 Switching Protocols'
  refused name-blank "$1" "$OK" 'X Part: a\r\n'
  refused name-blank-behind "$1" "$OK" 'X-Part : a\r\n'
  refused name-blank-before "$1" "$OK" ' X-Part: a\r\n'
  refused name-tab "$1" "$OK" 'X\tPart: a\r\n'
  refused name-control "$1" "$OK" 'X\001Part: a\r\n'
  refused name-nul "$1" "$OK" 'X\000Part: a\r\n'
  refused name-delete "$1" "$OK" 'X\177Part: a\r\n'
  refused name-eight-bits "$1" "$OK" 'X\200Part: a\r\n'
  refused name-quote "$1" "$OK" 'X"Part: a\r\n'
  refused name-empty "$1" "$OK" ': a\r\n'
  refused no-colon "$1" "$OK" 'X-Part\r\n'
  refused value-control "$1" "$OK" 'X-Part: a\001b\r\n'
  refused value-delete "$1" "$OK" 'X-Part: a\177b\r\n'
  refused value-nul "$1" "$OK" 'X-Part: a\000b\r\n'
  refused reason-control "$1" 'HTTP/1.1 200 O\001K'
  refused coding-blank "$1" "$OK" 'Transfer-Encoding : chunked\r\n'
  accepted plain "$1" "$OK" 200
  accepted reason-none "$1" 'HTTP/1.1 200' 200
  accepted value-tab "$1" "$OK" 200 'X-Part: a\tb\r\n'
  accepted value-eight-bits "$1" "$OK" 200 'X-Part: a\200b\r\n'
  accepted client-error "$1" 'HTTP/1.1 499 Own' 499
}

cut_up 1 3
all 1

# Entry VM 1 has lost all upstreams; 2 and 3 help.
cut 1 refuse 4 7
for i in $(seq 8); do
  send 1 "lose-pay-$i" pay "$OK" 'Connection: close\r\n'
  send 1 "lose-chat-$i" chat "$OK" 'Connection: close\r\n'
done
sleep 1
refused helped-status-000 1 'HTTP/1.1 000 Trouble'
refused helped-status-999 1 'HTTP/1.1 999 Trouble'
refused helped-name-control 1 "$OK" 'X\001Part: a\r\n'
accepted helped-plain 1 "$OK" 200
sleep 0.5 # the log is written a few times per second
grep -q '"id":"helped-status-000-pay-1".*"helper":"127.0.12.[23]"' "$SITE/entry-1.out" ||
  fault "helped-status-000-pay-1 was not relayed"

# Such an answer has its fault in the log, and is counted.
grep '"id":"status-999-pay-1"' "$SITE/entry-1.out" | grep '"cause":"garbled"' |
  grep -q '"fault":"the status is 999"' || fault "the log does not state the fault of status-999-pay-1"
curl -s "http://127.0.12.1:$((BASE_PORT + 8))/metrics" | grep -q '^briarrack_answers_invalid_total [1-9]' ||
  fault "answers_invalid_total is 0"

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "unsound heads: refused at once"
