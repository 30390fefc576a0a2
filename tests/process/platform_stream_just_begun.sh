# Checks that streams can be taken up whose entry VM was killed just after it had passed on
# their first events, also when an attempt at the other version had failed before.  Upstreams
# of two versions serve, so that the version of each stream must be known.
# Usage: platform_stream_just_begun.sh BUILD
set -u
BUILD=$1
BASE_PORT=31300
SITE_SECONDS=120
. "$(dirname "$0")/../support/platform_site.sh"

ROUNDS=10
ROUNDS_DOWN=8 # further ones, in which r1 is down when the stream begins

platform_upstreams() {
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) \
    --runner "r1,llm,castillos,$((BASE_PORT + 4)),v1" \
    --runner "r2,llm,castillos,$((BASE_PORT + 5)),v2"
  start_upstream 1
  start_upstream 2
}

start_upstream() {
  site_start "r$1" "$BUILD/fake_runner" --port $((BASE_PORT + 3 + $1)) --id "r$1"
}

# send ENTRY ID [CURL ARGUMENT...]
send() {
  local entry=$1 id=$2
  shift 2
  platform_request "$entry" "$id" /draft/late-stream -N -X POST -d "$id" \
    -H 'X-Token-Count: 10,60' "$@"
}

# Prints the upstreams that ran request $1.
ran_at() { grep -h "\"run\":\"$1\"" "$SITE"/r[12].out | sed 's/.*"at":"\(r[0-9]\)".*/\1/'; }

platform_up 3 2
total=0 went_on=0 mixed=0 switched=0
for round in $(seq $((ROUNDS + ROUNDS_DOWN))); do
  id=round-$round
  [ "$round" -gt $ROUNDS ] && site_kill r1 2> /dev/null
  event=
  # Ends with the first line of the first event, which was passed on just then.
  read -r event < <(send 1 "$id")
  site_kill entry-1 2> /dev/null
  if [ "$round" -gt $ROUNDS ]; then
    grep -q "\"event\":\"attempt_failed\",\"id\":\"$id\"" "$SITE/entry-1.out" &&
      switched=$((switched + 1))
    start_upstream 1
  fi
  [[ "$event" = 'id: 1'* ]] || continue
  total=$((total + 1))
  status=$(send 2 "$id-again" -H 'Last-Event-Id: 1' -H "Resumes: $id" | tail -n 1)
  if [ "$status" = 200 ]; then
    went_on=$((went_on + 1))
    [ "$(ran_at "$id" | tail -n 1)" = "$(ran_at "$id-again")" ] || mixed=$((mixed + 1))
  fi
  platform_vm entry 1 3
  platform_wait platform_entry_ready 1 || site_fail "entry VM 1 is not ready"
done
echo "$went_on of $total streams went on, $mixed at another version" >&2
echo "$switched of $ROUNDS_DOWN began at r2 after an attempt at r1" >&2
[ "$total" = $((ROUNDS + ROUNDS_DOWN)) ] || site_fail "only $total streams had begun"
[ "$switched" -gt 0 ] || site_fail "no stream began after an attempt at the other version"
[ "$mixed" = 0 ] || site_fail "$mixed streams went on at another version"
[ "$went_on" -ge $((total - 2)) ] || site_fail "$went_on of $total streams went on"
echo "streams that have just begun can be taken up"
