# Checks that take-ups of streams whose version has left neither wait for the quota of
# their organisation nor use it: they are refused at once for what they are, and requests
# within the quota are served beside them.
# Usage: platform_stream_quota.sh BUILD
set -u
BUILD=$1
BASE_PORT=31100
SITE_SECONDS=120
. "$(dirname "$0")/../support/platform_site.sh"

NEW=16
# Units of each request; the organisation's quota is three of them a second.
UNITS_HEADER='X-Token-Count: 10,990'

platform_upstreams() {
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) \
    --runner "r1,llm,castillos,$((BASE_PORT + 4)),v1" \
    --runner "r2,llm,castillos,$((BASE_PORT + 5)),v2"
  site_start r1 "$BUILD/fake_runner" --port $((BASE_PORT + 4)) --id r1
  site_start r2 "$BUILD/fake_runner" --port $((BASE_PORT + 5)) --id r2
}

# send ID [CURL ARGUMENT...]: sends a request of the small organisation; prints the status
send() {
  local id=$1
  shift
  PLATFORM_KEY=key-of-small platform_request 1 "$id" /draft/named-stream -X POST -d "$id" \
    -H "$UNITS_HEADER" "$@" | tail -n 1
}

# take_up ID: goes on with the stream that began at the version that has left
take_up() { send "$1" -H 'Last-Event-Id: 3' -H "Resumes: $GONE"; }

platform_up 3 1
small='{"Name": "small", "ApiKeys": ["key-of-small"], "Priority": 1, "Unit": "tokens"'
small="$small, \"PlainTokens\": 10, \"RatePerS\": 3000, \"Burst\": 3000}"
platform_configuration 2 | tr -d '\n' | sed "s/]}\$/, $small]}/" > "$SITE/2.json"
[ "$(platform_put 1 "$SITE/2.json")" = 200 ] ||
  site_fail "configuration 2 is not accepted"
GONE=
for i in $(seq 30); do
  platform_request 1 "first-$i" /draft/named-stream -X POST -d "first-$i" \
    -H 'X-Token-Count: 10,60' > /dev/null
  grep -q "\"run\":\"first-$i\"" "$SITE/r1.out" && GONE=first-$i && break
done
[ -n "$GONE" ] || site_fail "no stream began at version v1"
curl -s "http://127.0.0.1:$((BASE_PORT + 3))/state/r1/draining" > /dev/null
sleep 3

# Take-ups that cannot go on come all the while, several times the quota.
: > "$SITE/take-ups"
pids=()
for loop in 1 2 3 4; do
  while [ ! -e "$SITE/enough" ]; do
    take_up "late-$loop-$((n = ${n:-0} + 1))" >> "$SITE/take-ups"
  done &
  pids+=($!)
done
sleep 1
served=0
for i in $(seq $NEW); do
  [ "$(send "new-$i")" = 200 ] && served=$((served + 1))
  sleep 0.4
done
touch "$SITE/enough"
wait "${pids[@]}"
total=$(wc -l < "$SITE/take-ups")
limited=$(grep -c 429 "$SITE/take-ups")
echo "$served of $NEW new requests served; $limited of $total take-ups got 429" >&2
[ "$total" -ge 40 ] || site_fail "only $total take-ups were sent, 40 are needed"
grep -qv -e 429 -e 503 "$SITE/take-ups" && site_fail "a take-up got neither 429 nor 503"
[ "$limited" = 0 ] || site_fail "$limited of $total take-ups got 429, though they cannot go on"
[ "$served" -ge $((NEW * 3 / 4)) ] ||
  site_fail "$served of $NEW new requests within the quota were served, three quarters must"
echo "take-ups that cannot go on use no quota"
