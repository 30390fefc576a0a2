# Checks that a request that crashes upstreams, and that its caller resends
# through all entry VMs, no longer reaches upstreams, even if the leader is killed
# and an entry VM restarts meanwhile.  Other requests are served.
# Usage: platform_crash_resend.sh BUILD
set -u
BUILD=$1
BASE_PORT=27400
. "$(dirname "$0")/../support/platform_site.sh"

# Time after the third crash in which reports may still be on their way, in
# milliseconds, and number of crashes allowed after that.
CONTACT_MS=3000
RETRIES_MAX=3

platform_upstreams() {
  local i list=()
  for i in 1 2 3 4; do list+=(--runner "r$i,llm,castillos,$((BASE_PORT + 19 + i))"); done
  for i in 1 2; do list+=(--runner "p$i,ledger,castillos,$((BASE_PORT + 23 + i))"); done
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) "${list[@]}"
  for i in 1 2 3 4; do
    site_start "r$i" "$BUILD/fake_runner" --port $((BASE_PORT + 19 + i)) --id "r$i" \
      --cloud $((BASE_PORT + 3)) --down-ms 1500
  done
  for i in 1 2; do
    site_start "p$i" "$BUILD/fake_runner" --port $((BASE_PORT + 23 + i)) --id "p$i" \
      --cloud $((BASE_PORT + 3)) --down-ms 1500
  done
}

# Prints the times at which request $1 crashed upstreams, in order.
crash_times() {
  cat "$SITE"/[rp][1-4].out 2> /dev/null | grep "\"crashed\".*\"by\":\"$1-[0-9]*\"" |
    grep -o '"ms":[0-9]*' | cut -d : -f 2 | sort -n
}

# resend NAME PATH FROM TO: sends the request with ids NAME-FROM to NAME-TO through
# the entry VMs in turn
resend() {
  local i
  for i in $(seq "$3" "$4"); do
    platform_request $((i % 2 + 1)) "$1-$i" "$2" -X POST -d "the body of $1" > "$SITE/$1-$i.answer"
    sleep 0.4
  done
}

# send_others NAME: sends other requests, each until it is answered, at most eight times
send_others() {
  local i try status
  for i in $(seq 60); do
    for try in 1 2 3 4 5 6 7 8; do
      status=$(platform_request $((i % 2 + 1)) "$1-$i-$try" /draft/named-stream -X POST \
        -d "innocent $i of $1" | tail -n 1)
      [ "$status" = 200 ] && break
      sleep 0.3
    done
    echo "$status" >> "$SITE/$1.status"
    sleep 0.1
  done
}

# check NAME: checks how often the request crashed upstreams after CONTACT_MS
check() {
  local third late all
  all=$(crash_times "$1" | wc -l)
  third=$(crash_times "$1" | sed -n 3p)
  late=$(crash_times "$1" | awk -v from=$((${third:-0} + CONTACT_MS)) \
    -v third="${third:-0}" 'third > 0 && $1 > from' | wc -l)
  echo "$1: crashes $all, later than ${CONTACT_MS} ms after the third $late" >&2
  [ "$late" -le "$RETRIES_MAX" ] || site_fail "$1 crashed $all upstreams, $late of them late"
}

platform_up 3 2
send_others others &
others_pid=$!
resend draft /draft/fatal 1 10
leader=$(grep -l '"event":"leads"' "$SITE"/control-*.out | head -n 1)
leader=$(basename "$leader" .out)
site_kill "$leader"
platform_vm control "${leader#control-}" 3
resend other /draft/fatal 1 4 # another request, which is counted separately
site_kill entry-2
platform_vm entry 2 3
platform_wait platform_entry_ready 2 || site_fail "entry VM 2 is not ready again"
sleep 1
resend draft /draft/fatal 11 35 # may include one more trial
before=$(crash_times draft | wc -l)
resend draft /draft/fatal 36 65
after=$(crash_times draft | wc -l)
[ "$after" = "$before" ] || site_fail "draft crashed $((after - before)) more upstreams at the end"
check draft
check other
resend pay /pay/fatal 1 16
check pay
wait "$others_pid"
n=$(grep -c 200 "$SITE/others.status")
[ "$n" = 60 ] || site_fail "$n of 60 other requests were answered"
grep -q 503 "$SITE/draft-65.answer" || site_fail "the last answer is not 503: $(cat "$SITE/draft-65.answer")"
grep -q 'crashed' "$SITE/draft-65.answer" || site_fail "the last answer gives no reason: $(cat "$SITE/draft-65.answer")"
echo "a request that crashes upstreams no longer reaches them; others are served"
