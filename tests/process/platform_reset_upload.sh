# Guards against an answer that looks complete although its upstream reset the connection
# while the request was still being written, on each route of an entry VM and over another
# one.  An answer that its upstream ends in order is complete, also if the upstream does not
# read the request to its end.
# Usage: platform_reset_upload.sh BUILD
set -u
BUILD=$1
BASE_PORT=22200
SITE_SECONDS=250
. "$(dirname "$0")/../support/platform_site.sh"
. "$(dirname "$0")/../support/platform_cut.sh"
. "$(dirname "$0")/../support/abrupt.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

platform_upstreams() { abrupt_upstreams; }

# answer_body ROUTE: prints what the upstream's body begins with, and KEPT of answer() cuts
answer_body() {
  case $1 in
    chat | draft) abrupt_events 6 ;;
    *) printf 'the first part of an answer, and the second part of it\n' ;;
  esac
}

# prepare ROUTE FRAMING cut|whole END WAIT_MS: writes the body of such a request
prepare() {
  local kept=() type=X-Kind:plain
  case $1 in chat | draft) type=$EVENT_STREAM ;; esac
  # Three of the six events.
  [ "$3" = whole ] || kept=(-- "$([ "$type" = "$EVENT_STREAM" ] && echo 60 || echo 27)")
  answer_body "$1" | abrupt_answer "$2" "$STAMP" "$type" "${kept[@]}" |
    abrupt_body "$SITE/body" "$4" "$5" "$UPLOAD_BYTES"
}

# send ENTRY ID ROUTE: sends the request; sets HOW to complete or broken, and RUNS
send() {
  HOW=complete
  platform_request "$1" "$2" "/$3/x" -X POST -H 'Expect:' --data-binary "@$SITE/body" \
    > "$SITE/$2.answer" 2>&1 || HOW=broken
  tail -n 1 "$SITE/$2.answer" | grep -q "200$" || HOW=broken
  RUNS=$(grep -c "\"run\":\"$2\"" "$SITE/abrupt.out")
}

# broken_all NAME ENTRY CALLS ROUTE FRAMING END WAIT_MS...: cut answers must not look complete
broken_all() {
  local name=$1 entry=$2 calls=$3 route=$4 framing=$5 end=$6 wait i id
  local n=0 whole=0 reached=0 max=1
  case $route in look | draft) max=2 ;; esac
  shift 6
  for wait in "$@"; do
    prepare "$route" "$framing" cut "$end" "$wait"
    for i in $(seq "$calls"); do
      id=$name-$route-$framing-$end-$wait-$i
      send "$entry" "$id" "$route"
      n=$((n + 1))
      [ "$HOW" = complete ] && whole=$((whole + 1))
      [ "$RUNS" -ge 1 ] && reached=$((reached + 1))
      [ "$RUNS" -le "$max" ] || fault "$id ran $RUNS times"
    done
  done
  echo "$name /$route/ $framing, $end: $whole of $n complete, $reached reached an upstream"
  [ "$whole" = 0 ] || fault "$name /$route/ $framing, $end: $whole of $n cut answers look complete"
  [ "$reached" -ge 1 ] || fault "$name /$route/ $framing, $end: none reached an upstream"
}

# complete_all NAME ENTRY ROUTE FRAMING END: whole answers that end in order are complete
complete_all() {
  local i id n=0 whole=0
  prepare "$3" "$4" whole "$5" 0
  for i in 1 2 3; do
    id=$1-$3-$4-$5-$i
    send "$2" "$id" "$3"
    n=$((n + 1))
    [ "$HOW" = complete ] && [ "$RUNS" = 1 ] && whole=$((whole + 1))
    cmp -s <(answer_body "$3"; echo 200) "$SITE/$id.answer" || fault "$id: $(cat "$SITE/$id.answer")"
  done
  echo "$1 /$3/ $4, $5: $whole of $n complete"
  [ "$whole" = "$n" ] || fault "$1 /$3/ $4, $5: $whole of $n whole answers are complete, in one run"
}

cut_up 1 3
platform_configuration 2 | sed 's/"MaxBodyBytes": [0-9]*/"MaxBodyBytes": 8000000/' > "$SITE/2.json"
[ "$(platform_put 1 "$SITE/2.json")" = 200 ] || site_fail "configuration 2 is not accepted"
sleep 1

for route in pay look chat draft; do
  for framing in open close; do
    complete_all own 1 $route $framing shutdown
    broken_all own 1 1 $route $framing reset 0 1 3 20
    broken_all own 1 1 $route $framing close 0 1 3 20
    broken_all own 1 1 $route $framing drain 0 1 3 20
  done
  for framing in chunks length; do broken_all own 1 1 $route $framing reset 0 3; done
done

# Entry VM 1 has lost all upstreams; 2 and 3 help.
cut 1 refuse 4 7
for i in $(seq 8); do
  for route in pay chat; do
    prepare $route length whole read 0
    send 1 "lose-$route-$i" $route
  done
done
sleep 1
for route in pay look chat draft; do
  complete_all helped 1 $route open shutdown
  for end in reset close drain; do broken_all helped 1 1 $route open $end 0 3; done
done
sleep 0.5 # the log is written a few times per second
grep -q '"id":"helped-pay-open-reset-0-1".*"helper":"127.0.12.[23]"' "$SITE/entry-1.out" ||
  fault "helped-pay-open-reset-0-1 was not relayed"

# Such an end has its cause in the log, and is counted.
grep '"id":"own-pay-open-reset-20-1"' "$SITE/entry-1.out" | grep '"attempt_failed"' |
  grep '"cause":"reset"' | grep '"framing":"close"' | grep '"received":27' |
  grep -q '"unacked":[1-9]' || fault "the log has no reset of own-pay-open-reset-20-1"
curl -s "http://127.0.12.1:$((BASE_PORT + 8))/metrics" | grep -q '^briarrack_answers_reset_total [1-9]' ||
  fault "answers_reset_total is 0"

[ -z "$FAILED" ] || site_fail "$FAILED"
echo "reset uploads: no cut answer looks complete"
