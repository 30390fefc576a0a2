# Checks that an upstream that answers 503 with Retry-After gets no request from
# that entry VM for that time.  While this holds for all upstreams of a service,
# callers are refused with a Retry-After.
# Usage: platform_retry_after.sh BUILD
set -u
BUILD=$1
BASE_PORT=27300
. "$(dirname "$0")/../support/platform_site.sh"

# arrivals UPSTREAM NAME: prints the number of requests of that name there
arrivals() { grep -c "\"run\":\"$2-" "$SITE/$1.out"; }

platform_up 1 1
# Both upstreams refuse one request.
answer=$(platform_request 1 refused /look/hold -D "$SITE/head")
[ "$(tail -n 1 <<< "$answer")" = 503 ] || site_fail "the request that both upstreams refuse: $answer"
wait_s=$(tr -d '\r' < "$SITE/head" | sed -n 's/^[Rr]etry-[Aa]fter: //p')
awk -v s="$wait_s" 'BEGIN { exit !(s >= 1.9 && s <= 3.0) }' ||
  site_fail "Retry-After is '$wait_s', the upstreams accept requests again in 2 s"
for i in $(seq 10); do
  status=$(platform_request 1 "early-$i" /look/good | tail -n 1)
  [ "$status" = 503 ] || site_fail "early-$i: status $status, not 503"
  sleep 0.05
done
for p in p1 p2; do
  [ "$(arrivals $p early)" = 0 ] || site_fail "$p got a request before its Retry-After had passed"
done
sleep 0.3 # the log is written a few times per second
grep -q '"id":"early-1".*asked for no requests' "$SITE/entry-1.out" ||
  site_fail "the log has no cause for the refusal of early-1"
grep -q '"event":"upstream held off"' "$SITE/entry-1.out" || site_fail "the log has no line on the Retry-After"
sleep "$wait_s"
status=$(platform_request 1 back-1 /look/good | tail -n 1)
[ "$status" = 200 ] || site_fail "back-1: status $status after $wait_s s, not 200"

# An unreadable Retry-After does not count as a missing one.
platform_request 1 badly /look/hold-badly > /dev/null
status=$(platform_request 1 soon-1 /look/good | tail -n 1)
[ "$status" = 503 ] || site_fail "soon-1: status $status, not 503"
sleep 0.3
grep -q '"event":"unreadable Retry-After"' "$SITE/entry-1.out" || site_fail "the log has no line on the unreadable Retry-After"
echo "upstreams get requests after their Retry-After, and not before"
