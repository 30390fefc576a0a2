# Checks how an entry VM of a platform's site handles its upstreams' answers:
# whole answers are forwarded unchanged, broken ones never look whole, repeatable
# requests are repeated, others run once, and "not_run" is correct.
# Usage: platform_answers.sh BUILD
set -u
BUILD=$1
BASE_PORT=26100
. "$(dirname "$0")/../support/platform_site.sh"

# expect ID PATH STATUS RUNS [TEXT]: sends a request and checks its status, the
# number of its runs, and that TEXT is in the answer
expect() {
  local answer status runs
  answer=$(platform_request 1 "$1" "$2" -X POST -d body)
  status=$(tail -n 1 <<< "$answer")
  runs=$(cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1\"")
  [ "$status" = "$3" ] || site_fail "$1 $2: status $status, expected $3: $answer"
  [ "$runs" = "$4" ] || site_fail "$1 $2: ran $runs times, expected $4"
  [ -z "${5:-}" ] || grep -q "$5" <<< "$answer" || site_fail "$1 $2: no '$5' in $answer"
  echo "$1 $2: $status, $runs runs"
}

platform_up 1 1
expect a1 /pay/good 200 1 'good answer'
expect a2 /look/good 200 1 'good answer'
expect a3 /pay/truncated 502 1
expect a4 /look/truncated 502 2
expect a5 /pay/reset 502 1 '"outcome":"unknown"'
expect a6 /look/reset 502 2
expect a7 /pay/extra 200 1 'good answer'
expect a8 /pay/good 200 1 'good answer'
expect a9 /look/unframed 200 1 'no length'
expect b1 /pay/stranger 200 1 'good answer'
expect b2 /pay/full 503 0 '"outcome":"not_run"'
expect b3 /look/moved 503 0
expect b4 /pay/error 500 1 broken
expect b5 /look/error 500 2 broken
expect b6 /pay/unsigned 502 1
expect b7 /look/noise 502 2
expect b8 /look/silent 504 2 '"outcome":"unknown"'
expect b9 /pay/unavailable 502 1 '"outcome":"unknown"'
expect c0 /look/unavailable 502 2
expect c3 /pay/unpromised 502 1 '"outcome":"unknown"'
expect c4 /look/unpromised 502 2
expect c1 /nowhere/good 404 0
expect c2 /chat/stream 200 1 'part 6'

# A resumable stream continues at another upstream without a missing or a repeated
# event; any other is broken off.
answer=$(platform_request 1 d1 /draft/crash -X POST -d body)
[ "$(grep -c '^id: ' <<< "$answer")" = 6 ] || site_fail "resumed stream: $answer"
[ "$(grep '^id: ' <<< "$answer" | sort -u | wc -l)" = 6 ] || site_fail "an event came twice: $answer"
grep -q '"after":"3"' "$SITE"/r[12].out || site_fail "the stream was not resumed after event 3"
platform_request 1 d2 /chat/crash -X POST -d body > "$SITE/broken" 2>&1 &&
  site_fail "a broken stream looks whole: $(cat "$SITE/broken")"
grep -q 'part 4' "$SITE/broken" && site_fail "part of an event was forwarded"
[ "$(cat "$SITE"/r[12].out | grep -c '"run":"d2"')" = 1 ] || site_fail "d2 ran twice"

# A stream without a length ends with its connection.  One that ends inside an event,
# however it is framed, was broken off.
expect d3 /chat/unframed-stream 200 1 'part 6'
for how in cut-event cut-unframed; do
  answer=$(platform_request 1 "d4-$how" "/draft/$how" -X POST -d body)
  [ "$(grep '^id: ' <<< "$answer" | sort -u | wc -l)" = 6 ] && grep -q 'part 4' <<< "$answer" ||
    site_fail "$how: the stream was not resumed: $answer"
  platform_request 1 "d5-$how" "/chat/$how" -X POST -d body > "$SITE/broken" 2>&1 &&
    site_fail "$how: a broken stream looks whole: $(cat "$SITE/broken")"
done
echo "streams: resumed, broken off"

# Headers that the system sets are not taken from a caller.
platform_request 1 e1 /look/good -H 'X-Tenant: other' > /dev/null
grep '"run":"e1"' "$SITE"/p[12].out | grep -q '"tenant":"alcornocales","key":false' ||
  site_fail "the caller's tenant or key reached the upstream"
status=$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
  -H 'X-Request-Id: e2' -H 'Authorization: Bearer nobody' \
  "http://127.0.12.1:$BASE_PORT/look/good")
[ "$status" = 401 ] || site_fail "an unknown key gets status $status, expected 401"
echo "tenant and key headers: not taken from callers"

sleep 0.5 # the log is written a few times per second
# The log has the cause of every failed request under its id.
for id in a3 a5 b2 b7 b8 d2; do
  grep "\"id\":\"$id\"" "$SITE/entry-1.out" | grep -q '"cause":"[a-z]' ||
    site_fail "no cause of $id in the log"
done
echo "log: causes found"
