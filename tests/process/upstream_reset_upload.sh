# Guards against an answer of a plain service or an engine that looks complete although its
# upstream reset the connection while the request was still being written.
# Usage: upstream_reset_upload.sh BUILD
set -u
BUILD=$1
BASE_PORT=22600
SITE_SECONDS=200
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"
. "$(dirname "$0")/../support/abrupt.sh"

# Below callers.body_max_bytes.
UPLOAD_BYTES=3900000
FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# call ID: calls the plain service; sets STATUS
call() {
  STATUS=$(curl -sS --max-time 20 -H "Authorization: Bearer $SITE_KEY" -H "Idempotency-Key: $1" \
    -H 'Content-Type: application/json' -H 'Expect:' -o "$SITE/$1.answer" -w '%{http_code}' \
    --data-binary "@$SITE/body" "http://127.0.0.1:$BASE_PORT/services/ledger/orders")
}

# stream NAME: sends a request to the engines, with the members of $SITE/body.  One that failed
# is tried again until the caller leaves.
stream() {
  sed "s/^{/{\"model\":\"contract-lm\",\"stream\":true,\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}],/" \
    "$SITE/body" > "$SITE/stream"
  curl -sS -N --max-time 1 -H "Authorization: Bearer $SITE_KEY" -H 'Content-Type: application/json' \
    -H 'Expect:' --data-binary "@$SITE/stream" "http://127.0.0.1:$BASE_PORT/v1/chat/completions" \
    > "$SITE/$1.answer" 2>&1
}

# check_cut FRAMING END WAIT_MS...: answers that are cut are not complete, and a call runs once
check_cut() {
  local framing=$1 end=$2 wait id runs
  shift 2
  for wait in "$@"; do
    id=plain-$framing-$end-$wait
    printf '{"booked":true,"amount":1200}' |
      abrupt_answer "$framing" 'Content-Type: application/json' -- 10 |
      abrupt_body "$SITE/body" "$end" "$wait" "$UPLOAD_BYTES"
    call "$id"
    runs=$(grep -c "\"run\":\"$id\"" "$SITE/abrupt.out")
    echo "$id: $STATUS, $runs runs"
    [ "$STATUS" = 502 ] || fault "$id: status $STATUS, not 502"
    [ "$runs" = 1 ] || fault "$id: $runs runs, not 1"
    id=stream-$framing-$end-$wait
    { raw_event one; raw_event two; } | abrupt_answer "$framing" "$EVENT_STREAM" -- 150 |
      abrupt_body "$SITE/body" "$end" "$wait" "$UPLOAD_BYTES"
    stream "$id"
    grep -q DONE "$SITE/$id.answer" && fault "$id: $(tail -c 300 "$SITE/$id.answer")"
  done
}

site_init
site_start abrupt "$BUILD/fake_abrupt" --port $((BASE_PORT + 30)) --port $((BASE_PORT + 31)) \
  --port $((BASE_PORT + 40))
raw_site_up
sleep 1 # the VMs have to detect that the upstreams are up

printf '{"booked":true}' | abrupt_answer length | abrupt_body "$SITE/body" read 0 "$UPLOAD_BYTES"
call sound
[ "$STATUS" = 200 ] || fault "sound: $STATUS"
{ raw_event one; raw_done; } | abrupt_answer close "$EVENT_STREAM" |
  abrupt_body "$SITE/body" read 0 1000
stream stream-sound
grep -q DONE "$SITE/stream-sound.answer" || fault "stream-sound: $(cat "$SITE/stream-sound.answer")"
for framing in open close; do
  for end in reset close drain; do check_cut $framing $end 0 3 20; done
done
for framing in length chunks; do check_cut $framing reset 0 20; done

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "reset uploads: no cut answer looks complete"
