# Checks the calls to the platform: each accounting window is reported with the
# same counts of the requests that ran, by one holder at a time, and the fencing
# number grows when the leader is killed.  Also checks that an entry VM cuts no
# request when it stops, and serves on after a reload.
# Usage: platform_duties.sh BUILD
set -u
BUILD=$1
BASE_PORT=26400
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 2
sent=0
for i in $(seq 30); do
  [ "$(platform_request $((i % 2 + 1)) "u$i" /look/good | tail -n 1)" = 200 ] || site_fail "u$i"
  sent=$((sent + 1))
done
# A stream that continues at a second upstream counts once.
for i in 1 2 3; do
  platform_request 1 "c$i" /draft/crash -X POST -d x | grep -q 'part 6' || site_fail "c$i"
  sent=$((sent + 1))
done
# An engine's own error counts as a run.
for i in 1 2 3; do
  platform_request 1 "e$i" /chat/error -X POST -d x | grep -q 500 || site_fail "e$i"
  sent=$((sent + 1))
done
# A request whose connection to the engine breaks before the first event counts as
# a run.
for i in 1 2 3; do
  platform_request 1 "r$i" /chat/reset -X POST -d x | grep -q 502 || site_fail "r$i"
  sent=$((sent + 1))
done
all_counted() { [ "$(platform_counted)" = "$sent" ]; }
platform_wait all_counted || site_fail "counted $(platform_counted) of $sent: $(cat "$SITE/cloud.out")"
echo "usage: $sent requests counted"

leader=
for i in 1 2 3; do
  curl -s -m 1 "http://127.0.11.$i:$((BASE_PORT + 8))/metrics" | grep -q 'briarrack_leads 1' &&
    leader=$i
done
[ -n "$leader" ] || site_fail "no leader"
site_kill "control-$leader"
for i in $(seq 10); do
  [ "$(platform_request $((i % 2 + 1)) "w$i" /look/good | tail -n 1)" = 200 ] || site_fail "w$i"
  sent=$((sent + 1))
done
platform_wait all_counted || site_fail "after the kill: counted $(platform_counted) of $sent"
grep '"duty"' "$SITE/cloud.out" | grep -o '"fencing":[0-9]*' | grep -o '[0-9]*' > "$SITE/fencing"
sort -n -c "$SITE/fencing" || site_fail "a fencing number is lower than the one before"
[ "$(sort -u "$SITE/fencing" | wc -l)" -ge 2 ] || site_fail "the new holder has the fencing number of the old one"
grep '"duty":"usage"' "$SITE/cloud.out" | sed 's/"holder":"[^"]*","fencing":[0-9]*,//' | sort -u |
  grep -o '"Window": *[0-9]*' | sort | uniq -d | grep -q . &&
  site_fail "one window was reported with two counts"
echo "leader killed: reports continue, fencing numbers grow, one count for each window"

kill -HUP "$(site_pid entry-1)"
platform_request 1 h1 /look/good | grep -q 200 || site_fail "a reload stopped the entry VM"
echo '{"broken": ' > "$SITE/entry-1.json"
kill -HUP "$(site_pid entry-1)"
platform_request 1 h2 /look/good | grep -q 200 || site_fail "an invalid settings file stopped the entry VM"
sleep 0.4
grep -q '"event":"settings refused"' "$SITE/entry-1.out" || site_fail "the log has no line on the invalid settings file"
echo "reload: still served"

platform_request 1 s1 /chat/stream -X POST -d x > "$SITE/s1" &
request_pid=$!
sleep 0.05
kill -TERM "$(site_pid entry-1)"
wait $request_pid || site_fail "the stream was cut by the stop"
grep -q 'part 6' "$SITE/s1" || site_fail "the stream is not whole: $(cat "$SITE/s1")"
[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
  "http://127.0.12.1:$((BASE_PORT + 1))/readyz")" = 503 ] || site_fail "a stopping entry VM is still ready"
platform_request 1 s2 /look/good | grep -q 200 || site_fail "callers are not served until the balancer sees the stop"
stopped() { ! kill -0 "$(site_pid entry-1)" 2> /dev/null; }
platform_wait stopped || site_fail "the entry VM does not stop"
echo "stop: nothing cut"
