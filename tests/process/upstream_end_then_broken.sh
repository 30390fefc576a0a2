# Guards against a stream that runs again although it had ended: the engine
# sends the end of the stream, and then its connection breaks, or text follows.
# Usage: upstream_end_then_broken.sh BUILD
set -u
BUILD=$1
BASE_PORT=31620
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"

E1=$((BASE_PORT + 30))
SSE='Content-Type: text/event-stream'
failed=

check() {
  local out=$SITE/answer-$1
  raw_start "$E1" "$1" --port $((E1 + 1))
  sleep 0.7 # the VM has to detect that the engines are up again
  site_complete 0 "$(raw_body "$1")" --max-time 10 > "$out" 2> "$out.err"
  [ "$(raw_text "$out")" = 'one two ' ] ||
    failed="$failed $1: the text is '$(raw_text "$out")'."
  [ "$(grep -c '^data: \[DONE\]$' "$out")" = 1 ] || failed="$failed $1: no end."
  [ "$(grep -c '"run"' "$SITE/raw-$1.out")" = 1 ] ||
    failed="$failed $1: $(grep -c '"run"' "$SITE/raw-$1.out") attempts, not 1."
  site_kill "raw-$1" 2> /dev/null
}

site_init
raw_site_up
stream=$(raw_event 'one '; raw_event 'two '; raw_done; printf .)
stream=${stream%.}
{ printf 'HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n' "$SSE"
  printf '%x\r\n%s\r\n' ${#stream} "$stream"; } > "$SITE/no-last-chunk"
printf 'HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 100000\r\n\r\n%s' "$SSE" \
  "$stream" > "$SITE/too-short"
{ raw_open_head 200 "$SSE"; printf '%s' "$stream"
  printf '{"error":"overloaded"}\n\n'; } > "$SITE/text-behind"
{ raw_open_head 200 "$SSE"; printf '%s' "$stream"
  printf 'data: {"error":"overloaded"}\n\n'; } > "$SITE/error-behind"
for each in no-last-chunk too-short text-behind error-behind; do check "$each"; done
[ -z "$failed" ] || site_fail "$failed"
echo "upstream end then broken: ok"
