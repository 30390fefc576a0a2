# Guards against a stream that goes on at another software version, at an entry VM that was
# suspended while that version joined: its steady clock has not counted the time, so its list
# looks fresh, and no control VM answers.  Usage: platform_suspended_take_up.sh BUILD
set -u
BUILD=$1
BASE_PORT=31820
SITE_SECONDS=90
. "$(dirname "$0")/../support/platform_site.sh"

STREAMS=6

# Upstreams r1 and r2 are of version v1; r3, of v2, is listed later.
platform_upstreams() {
  local i
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) \
    --runner "r1,llm,castillos,$((BASE_PORT + 4)),v1" \
    --runner "r2,llm,castillos,$((BASE_PORT + 5)),v1"
  for i in 1 2 3; do
    site_start "r$i" "$BUILD/fake_runner" --port $((BASE_PORT + 3 + i)) --id "r$i"
  done
}

# Prints the upstreams that ran request $1.
ran_at() {
  grep -h "\"run\":\"$1\"" "$SITE"/r*.out | sed 's/.*"at":"\(r[0-9]*\)".*/\1/' | paste -sd ' '
}

cloud() { curl -s -m 2 "$@" > /dev/null; }

platform_up 1 2
site_kill entry-1 2> /dev/null
echo 0 > "$SITE/suspended"
site_start entry-1 env LD_PRELOAD="$BUILD/libsoak_shim.so" SHIM_SUSPENDED="$SITE/suspended" \
  ASAN_OPTIONS=verify_asan_link_order=0 "$BUILD/briarrack" serve "$SITE/entry-1.json"
platform_wait platform_entry_ready 1 || site_fail "entry VM 1 is not ready again"
sleep 22 # its lists have shown one version for longer than a stream lasts

kill -STOP "$(site_pid control-1)" "$(site_pid entry-1)"
stopped=$(date +%s%3N)
cloud -X PUT "http://127.0.0.1:$((BASE_PORT + 3))/entry" -d "{\"Id\":\"r3\",\"Service\":\"llm\",
  \"Address\":\"127.0.0.1:$((BASE_PORT + 6))\",\"Zone\":\"castillos\",\"Version\":\"v2\",
  \"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":1000}"
for i in 1 2; do cloud "http://127.0.0.1:$((BASE_PORT + 3))/state/r$i/draining"; done
knows_r3() { grep -q '"event":"upstreams listed","from":"platform".*"upstreams":3' "$SITE/entry-2.out"; }
platform_wait knows_r3 || site_fail "entry VM 2 does not read the list"
for i in $(seq $STREAMS); do
  platform_request 2 "s$i" /draft/named-stream -X POST -d "s$i" -H 'X-Token-Count: 10,60' > "$SITE/s$i.answer"
  [ "$(ran_at "s$i")" = r3 ] || site_fail "stream s$i began at $(ran_at "s$i"), not r3"
done

echo $(($(date +%s%3N) - stopped - 50)) > "$SITE/suspended"
kill -CONT "$(site_pid entry-1)"
pending=
for i in $(seq $STREAMS); do
  platform_request 1 "s$i-again" /draft/named-stream -X POST -d "s$i" -H 'X-Token-Count: 10,60' \
    -H 'Last-Event-Id: 3' -H "Resumes: s$i" > "$SITE/again.answer" &
  pending="$pending $!"
done
# shellcheck disable=SC2086
wait $pending
kill -CONT "$(site_pid control-1)"
mixed=0
for i in $(seq $STREAMS); do
  at=$(ran_at "s$i-again")
  echo "s$i: began at r3, went on at '${at}'"
  [ -z "$at" ] || [ "$at" = r3 ] || mixed=$((mixed + 1))
done
[ "$mixed" = 0 ] || site_fail "$mixed of $STREAMS streams went on at another version"
echo "a suspended VM takes up no stream at a version that it guesses"
