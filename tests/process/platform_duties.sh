# Duties towards the platform: each accounting window is reported once with what
# ran, by one holder at a time, whose number grows when the leader is killed; an
# entry VM that is stopped cuts no request; a reload keeps it serving.
# Usage: platform_duties.sh BUILD
set -u
BUILD=$1
BASE_PORT=26400
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 2
sent=0
for i in $(seq 30); do
  [ "$(platform_ask $((i % 2 + 1)) "u$i" /look/good | tail -n 1)" = 200 ] || site_fail "u$i"
  sent=$((sent + 1))
done
# A stream that goes on at a second upstream counts once.
for i in 1 2 3; do
  platform_ask 1 "c$i" /draft/crash -X POST -d x | grep -q 'part 6' || site_fail "c$i"
  sent=$((sent + 1))
done
# An engine's own error counts as a run.
for i in 1 2 3; do
  platform_ask 1 "e$i" /chat/error -X POST -d x | grep -q 500 || site_fail "e$i"
  sent=$((sent + 1))
done
# An engine whose connection breaks before its first event had begun to run.
for i in 1 2 3; do
  platform_ask 1 "r$i" /chat/reset -X POST -d x | grep -q 502 || site_fail "r$i"
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
  [ "$(platform_ask $((i % 2 + 1)) "w$i" /look/good | tail -n 1)" = 200 ] || site_fail "w$i"
  sent=$((sent + 1))
done
platform_wait all_counted || site_fail "after the kill: counted $(platform_counted) of $sent"
grep '"duty"' "$SITE/cloud.out" | grep -o '"fencing":[0-9]*' | grep -o '[0-9]*' > "$SITE/fencing"
sort -n -c "$SITE/fencing" || site_fail "a fencing number went back"
[ "$(sort -u "$SITE/fencing" | wc -l)" -ge 2 ] || site_fail "the new holder has no number of its own"
grep '"duty":"usage"' "$SITE/cloud.out" | sed 's/"holder":"[^"]*","fencing":[0-9]*,//' | sort -u |
  grep -o '"Window": *[0-9]*' | sort | uniq -d | grep -q . &&
  site_fail "one window was reported with two counts"
echo "leader killed: reports go on, numbers grow, no window twice"

kill -HUP "$(site_pid entry-1)"
platform_ask 1 h1 /look/good | grep -q 200 || site_fail "a reload stopped the entry VM"
echo '{"broken": ' > "$SITE/entry-1.json"
kill -HUP "$(site_pid entry-1)"
platform_ask 1 h2 /look/good | grep -q 200 || site_fail "a bad file stopped the entry VM"
sleep 0.4
grep -q '"event":"settings refused"' "$SITE/entry-1.out" || site_fail "no word on the bad file"
echo "reload: goes on"

platform_ask 1 s1 /chat/stream -X POST -d x > "$SITE/s1" &
asked=$!
sleep 0.05
kill -TERM "$(site_pid entry-1)"
wait $asked || site_fail "the stream was cut"
grep -q 'part 6' "$SITE/s1" || site_fail "the stream is not whole: $(cat "$SITE/s1")"
[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
  "http://127.0.12.1:$((BASE_PORT + 1))/readyz")" = 503 ] || site_fail "still ready"
platform_ask 1 s2 /look/good | grep -q 200 || site_fail "callers are not served until the balancer knows"
stopped() { ! kill -0 "$(site_pid entry-1)" 2> /dev/null; }
platform_wait stopped || site_fail "the entry VM does not stop"
echo "stop: nothing cut"
