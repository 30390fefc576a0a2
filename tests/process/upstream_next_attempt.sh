# Guards against streams that hold something else than the answer, or look
# complete, after an attempt broke off.  The first of three engines begins an
# answer and its connection ends; the second goes on with something that is not
# the rest; the third sends the rest.  The caller must get exactly the whole
# answer.  Usage: upstream_next_attempt.sh BUILD
set -u
BUILD=$1
BASE_PORT=31560
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"

E1=$((BASE_PORT + 30))
SSE='Content-Type: text/event-stream'
failed=

# Files: "begin" is cut off after two tokens, "rest" is the rest.
write_answers() {
  { raw_open_head 200 "$SSE"; raw_event 'one '; raw_event 'two '; } > "$SITE/begin"
  { raw_event 'three '; raw_done; } | raw_answer 200 "$SSE" > "$SITE/rest"
}

# The upstream of the plain service is the third engine.
eval "$(declare -f site_settings | sed '1s/site_settings/site_settings_plain/')"
site_settings() {
  site_settings_plain "$@" | sed 's/"app": "ledger"/&, "model": "contract-lm"/'
}

# Sends a request whose attempts get, in turn: two tokens; the answer in file
# $1; the rest.  They are at three engines, in any order.
check() {
  local out=$SITE/answer-$1 runs
  site_start "raw-$1" "$BUILD/fake_raw" --port "$E1" --port $((E1 + 1)) \
    --port $((E1 + 10)) --answer "$SITE/begin" --answer "$SITE/$1" \
    --answer "$SITE/rest"
  site_wait "http://127.0.0.1:$E1/health"
  sleep 0.7 # the VM has to detect that the engines are up again
  site_complete 0 "$(raw_body "$1")" --max-time 10 > "$out" 2> "$out.err"
  runs=$(grep -c '"run"' "$SITE/raw-$1.out")
  echo "$1: '$(raw_text "$out" | cut -c1-60)', $(grep -c DONE "$out") ends, $runs attempts" >&2
  [ "$(raw_text "$out")" = 'one two three ' ] ||
    failed="$failed $1: the text is '$(raw_text "$out" | cut -c1-60)'."
  [ "$(grep -c '^data: \[DONE\]$' "$out")" = 1 ] || failed="$failed $1: no end."
  [ "$runs" = 3 ] || failed="$failed $1: $runs attempts, not 3."
  ! grep -q 'overloaded\|HTTP/1' "$out" ||
    failed="$failed $1: the stream holds $(grep -o 'overloaded\|HTTP/1.*' "$out" | head -n 1)."
  site_kill "raw-$1" 2> /dev/null
}

site_init
raw_site_up
write_answers
error='{"error":{"message":"overloaded","code":503}}'
# A head and nothing else.
raw_open_head 200 "$SSE" > "$SITE/no-event"
printf '' | raw_answer 200 "$SSE" > "$SITE/no-event-length"
# An error's text, where events are expected.
{ raw_open_head 200 "$SSE"; printf '%s\n\n' "$error"; } > "$SITE/error-text"
printf '%s' "$error" | raw_answer 200 'Content-Type: application/json' > "$SITE/error-json"
printf '%s' "$error" | raw_answer 503 'Content-Type: application/json' 'Retry-After: 30' > "$SITE/error-status"
{ raw_event 'wrong '; raw_done; } | raw_answer 503 "$SSE" > "$SITE/error-events"
# An error as an event.
printf 'data: %s\n\ndata: [DONE]\n\n' "$error" | raw_answer 200 "$SSE" > "$SITE/error-event"
printf 'event: error\ndata: "overloaded"\n\ndata: [DONE]\n\n' | raw_answer 200 "$SSE" > "$SITE/error-named"
printf 'event: error\ndata: {"message":"overloaded"}\n\ndata: [DONE]\n\n' | raw_answer 200 "$SSE" > "$SITE/error-named-object"
# A second answer inside an answer without length or chunks.
{ raw_open_head 200 "$SSE"; raw_open_head 200 "$SSE"; raw_event 'wrong '; raw_done; } > "$SITE/head"
{ raw_open_head 200 "$SSE"; printf '%s\n' "$error"; raw_event 'wrong '; raw_done; } > "$SITE/text-then-event"
# Events that are not announced as events.
{ raw_event 'wrong '; raw_done; } | raw_answer 200 'Content-Type: application/json' > "$SITE/type"
# The end comes inside an event, or inside the last line.
{ raw_open_head 200 "$SSE"; raw_event 'wrong ' | head -c 40; } > "$SITE/inside-event"
{ raw_open_head 200 "$SSE"; printf 'data: [DONE]\n'; } > "$SITE/inside-end"
{ raw_open_head 200 "$SSE"; raw_event 'wrong ' | head -n 1; } > "$SITE/no-empty-line"
for each in no-event no-event-length error-text error-json error-status \
  error-events error-event error-named error-named-object head \
  text-then-event type inside-event inside-end no-empty-line; do
  check "$each"
done
[ -z "$failed" ] || site_fail "$failed"
echo "upstream next attempt: ok"
