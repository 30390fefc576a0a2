# Guards against an answer of a plain service or an engine whose head is not sound and that
# reaches a caller: a status other than 100 to 599, a byte that no name of a field may hold, a
# control character, an ambiguous length.  The upstream keeps the connection open behind it.
# Usage: upstream_unsound_heads.sh BUILD
set -u
BUILD=$1
BASE_PORT=22400
SITE_SECONDS=200
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"
. "$(dirname "$0")/../support/abrupt.sh"

FAILED=
END=keep
N=0
BODY='{"booked":true}'

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# call NAME FIRST_LINE FIELDS [BODY]: calls the plain service through one VM after another; its
# answer has a head of these lines, printf formats.  Sets STATUS and RUNS.
call() {
  printf "$2\r\nContent-Type: application/json\r\n$3\r\n${4:-$BODY}" |
    abrupt_body "$SITE/body" "$END" 0
  N=$(((N + 1) % 3))
  STATUS=$(curl -sS --max-time 20 -H "Authorization: Bearer $SITE_KEY" -H "Idempotency-Key: $1" \
    -H 'Content-Type: application/json' -o "$SITE/$1.answer" -w '%{http_code}' \
    --data-binary "@$SITE/body" "http://127.0.0.1:$((BASE_PORT + N))/services/ledger/orders")
  RUNS=$(grep -c "\"run\":\"$1\"" "$SITE/abrupt.out")
  echo "$1: $STATUS, $RUNS runs"
}

# refused NAME FIRST_LINE [FIELDS [BODY]]: the caller gets 502, and nothing of the answer
refused() {
  call "$1" "$2" "${3:-$LENGTH}" "${4:-}"
  [ "$STATUS" = 502 ] || fault "$1: status $STATUS, not 502"
  [ "$RUNS" = 1 ] || fault "$1: $RUNS runs, not 1"
  grep -q 'unknown_outcome' "$SITE/$1.answer" || fault "$1: $(head -c 200 "$SITE/$1.answer")"
}

# accepted NAME STATUS FIRST_LINE [FIELDS]: the caller gets the answer
accepted() {
  call "$1" "$3" "${4:-$LENGTH}"
  [ "$STATUS" = "$2" ] || fault "$1: status $STATUS, not $2"
  [ "$(cat "$SITE/$1.answer")" = "$BODY" ] || fault "$1: $(head -c 200 "$SITE/$1.answer")"
}

# stream NAME FIRST_LINE FIELDS: prints the answer to a request to the engines
stream() {
  { printf "$2\r\n$EVENT_STREAM\r\n$3Connection: close\r\n\r\n"; raw_event part; raw_done; } |
    abrupt_body "$SITE/body" read 0
  sed -i 's/^{/{"model":"contract-lm","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"'"$1"'"}],/' \
    "$SITE/body"
  site_complete 0 "$(cat "$SITE/body")" -w '%{http_code}' | tee "$SITE/$1.answer"
}

site_init
site_start abrupt "$BUILD/fake_abrupt" --port $((BASE_PORT + 30)) --port $((BASE_PORT + 31)) \
  --port $((BASE_PORT + 40))
raw_site_up
sleep 1 # the VMs have to detect that the upstreams are up

OK='HTTP/1.1 200 OK'
LENGTH='Content-Length: 15\r\n'
accepted plain 200 "$OK"
for status in 000 0 00 099 20 020 0200 600 999 1000 101; do
  refused "status-$status" "HTTP/1.1 $status Trouble"
done
refused status-word 'HTTP/1.1 2O0 OK'
refused status-joined 'HTTP/1.1 200OK'
refused name-blank "$OK" "X Part: a\r\n$LENGTH"
refused name-tab "$OK" "X\tPart: a\r\n$LENGTH"
refused name-control "$OK" "X\001Part: a\r\n$LENGTH"
refused name-nul "$OK" "X\000Part: a\r\n$LENGTH"
refused name-delete "$OK" "X\177Part: a\r\n$LENGTH"
refused name-eight-bits "$OK" "X\200Part: a\r\n$LENGTH"
refused name-quote "$OK" "X\"Part: a\r\n$LENGTH"
refused name-empty "$OK" ": a\r\n$LENGTH"
refused no-colon "$OK" "X-Part\r\n$LENGTH"
refused folded "$OK" "X-Part: a\r\n b\r\n$LENGTH"
refused value-control "$OK" "X-Part: a\001b\r\n$LENGTH"
refused value-delete "$OK" "X-Part: a\177b\r\n$LENGTH"
refused reason-control 'HTTP/1.1 200 O\001K'
refused coding-blank "$OK" "Transfer-Encoding : chunked\r\n$LENGTH" "f\r\n$BODY\r\n0\r\n\r\n"
refused coding-other "$OK" "Transfer-Encoding: gzip, chunked\r\n" "f\r\n$BODY\r\n0\r\n\r\n"
refused length-blank "$OK" 'Content-Length : 15\r\n'
refused length-twice "$OK" "${LENGTH}Content-Length: 14\r\n"
refused length-and-chunks "$OK" "Transfer-Encoding: chunked\r\n$LENGTH" "f\r\n$BODY\r\n0\r\n\r\n"
refused interim-name "HTTP/1.1 100 Continue\r\nX Part: a\r\n\r\n$OK"
accepted interim 200 "HTTP/1.1 100 Continue\r\n\r\n$OK"
accepted reason-none 200 'HTTP/1.1 200'
accepted value-tab 200 "$OK" "X-Part: a\tb\r\n$LENGTH"
accepted client-error 499 'HTTP/1.1 499 Own'

stream stream-sound "$OK" '' | grep -q 'DONE' || fault "a sound stream: $(cat "$SITE/stream-sound.answer")"
stream stream-name "$OK" 'X Part: a\r\n' > /dev/null
stream stream-status 'HTTP/1.1 0200 OK' '' > /dev/null
for name in stream-name stream-status; do
  grep -q '"part"' "$SITE/$name.answer" && fault "$name: $(cat "$SITE/$name.answer")"
done

# A service whose answers are all invalid, those for its health too, still runs: no request
# counts as one that crashed it.
END=sick
refused sick 'HTTP/1.1 000 Trouble'
sleep 2
cat "$SITE"/castillos-[12].log "$SITE/lascano-1.log" | grep '"event":"notice"' | grep -q '"kind":"crash"' &&
  fault "an invalid answer counts as a crash"

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "unsound heads: refused"
