# Checks that a stream that broke off goes on only with its own next event: an answer of
# the next upstream that is empty, holds an error, is of another type, or repeats or leaves
# out events is not passed on, and the stream never looks complete.
# Usage: platform_error_inside_stream.sh BUILD
set -u
BUILD=$1
BASE_PORT=31220
. "$(dirname "$0")/../support/platform_site.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# ids FILE: prints the ids of the events in an answer
ids() { sed -n 's/^id: *\([0-9]*\).*/\1/p' "$1" | paste -sd ' '; }

# broken_off ID PATH RUNS: checks that the stream is closed before its end, with the first
# three events and nothing else
broken_off() {
  local runs out="$SITE/$1.answer"
  platform_request 1 "$1" "$2" -X POST -d "$1" > "$out" 2>&1 && fault "$2 looks complete"
  [ "$(ids "$out")" = '1 2 3' ] || fault "$2 passes the events $(ids "$out")"
  grep -q 'HTTP/1.1 500\|spoiled' "$out" && fault "$2 passes an error's text"
  runs=$(cat "$SITE"/r[12].out | grep -c "\"run\":\"$1\"")
  [ "$runs" = "$3" ] || fault "$2 ran $runs times, expected $3"
}

# complete ID PATH: checks that the caller gets the whole stream
complete() {
  local out="$SITE/$1.answer"
  platform_request 1 "$1" "$2" -X POST -d "$1" > "$out" 2>&1 || fault "$2 is broken off"
  [ "$(ids "$out")" = '1 2 3 4 5 6' ] || fault "$2 passes the events $(ids "$out")"
  grep -q 'HTTP/1.1 500\|spoiled' "$out" && fault "$2 passes an error's text"
}

platform_up 1 1
broken_off empty /draft/rest-empty 2
broken_off head /draft/rest-head 2
broken_off text /draft/rest-text 2
broken_off type /draft/rest-type 2
broken_off again /draft/rest-again 2
broken_off repeat /draft/rest-repeat 2
broken_off skip /draft/rest-skip 2

# A fault inside one answer: the stream goes on at another upstream, if it may.
broken_off chat-error /chat/error-inside 1
broken_off chat-id /chat/repeat-id 1
complete draft-error /draft/error-inside
complete draft-id /draft/repeat-id

# Sound streams pass unchanged, with all fields that their events may have.
complete plain /draft/crash
complete rich /chat/rich-stream
for line in 'x-weight-versions: 7' 'event: token' 'retry: 20' ': note' 'data: a: b'; do
  n=$(grep -c "^$line" "$SITE/rich.answer")
  [ "$n" = 6 ] || fault "'$line' came in $n of 6 events"
done

# A caller's take-up of a stream goes on behind the event that it names, or not at all.
take_up() {
  platform_request 1 "$1" "$2" -X POST -d x -H 'Last-Event-Id: 3' -H 'Resumes: plain' > "$SITE/$1.answer"
}
take_up taken-up /draft/stream
[ "$(ids "$SITE/taken-up.answer")" = '4 5 6' ] || fault "a take-up gets the events $(ids "$SITE/taken-up.answer")"
take_up anew /draft/rest-again
[ "$(ids "$SITE/anew.answer")" = '' ] || fault "a take-up that begins anew gets the events $(ids "$SITE/anew.answer")"

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "streams: only their own next event follows an event"
