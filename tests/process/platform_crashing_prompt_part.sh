# Checks that requests with one prompt part that crashes upstreams, no two alike, stop
# reaching upstreams, and that requests which share their organisation, path and other
# parts are served meanwhile.  A second such part comes on another route while the
# leader is killed.
# Usage: platform_crashing_prompt_part.sh BUILD
set -u
BUILD=$1
BASE_PORT=30100
SITE_SECONDS=200
ENTRIES=8
DOWN_MS=1500
. "$(dirname "$0")/../support/crash_site.sh"

# The platform's rule: crashes after which the part must be known, and requests with it
# that may still reach upstreams later than CONTACT_MS after the last of them.
PART_CRASHES=5
PART_LATE_MAX=3

platform_upstreams() {
  local i list=()
  for i in $(seq 12); do list+=(--runner "p$i,llm,castillos,$((BASE_PORT + 19 + i))"); done
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) "${list[@]}"
  for i in $(seq 12); do
    site_start "p$i" "$BUILD/fake_runner" --port $((BASE_PORT + 19 + i)) --id "p$i" \
      --down-ms "$DOWN_MS" --cloud $((BASE_PORT + 3))
  done
}

# part_requests NAME PATH PARTS N PERIOD_S: sends N requests, no two alike, with the
# prompt's parts PARTS and one of their own
part_requests() {
  local i
  for i in $(seq "$4"); do
    platform_request $((i % ENTRIES + 1)) "$1-$i" "$2" -X POST -d "the body of $1 $i" \
      -H 'X-Model: m' -H 'X-Token-Count: 1300,60' \
      -H "X-Prompt-Prefix: $3,$(printf '%x' $((i + 16#$(printf %s "$1" | md5sum | cut -c 1-8)))):100" \
      > "$SITE/$1-$i.answer" &
    sleep "$5"
  done
  wait
}

# part_check NAME: checks how often requests NAME crashed upstreams; appends to FAILED
part_check() {
  local fifth late all
  all=$(crash_times "$1" | wc -l)
  fifth=$(crash_times "$1" | sed -n ${PART_CRASHES}p)
  late=0
  [ -n "$fifth" ] && late=$(crash_times "$1" | awk -v from=$((fifth + CONTACT_MS)) '$1 > from' | wc -l)
  echo "$1: crashes $all, later than ${CONTACT_MS} ms after the fifth $late" >&2
  [ "$all" -ge 2 ] || FAILED="$FAILED $1: $all crashes, at least 2 are needed for the test."
  [ "$late" -le "$PART_LATE_MAX" ] || FAILED="$FAILED $1: $late late crashes, at most $PART_LATE_MAX are allowed."
}

# sound_check NAME N: checks that at least half of the last N / 2 sound requests were
# served at once; appends to FAILED
sound_check() {
  local i served=0
  for i in $(seq $(($2 / 2 + 1)) "$2"); do
    tail -n 1 "$SITE/$1-$i.answer" | grep -q 200 && served=$((served + 1))
  done
  echo "$1: $served of the last $(($2 / 2)) served" >&2
  [ $((served * 2)) -ge $(($2 / 2)) ] || FAILED="$FAILED $1: $served of the last $(($2 / 2)) sound requests were served."
}

platform_up 3 $ENTRIES
part_requests sound /draft/named-stream 5e:800,7a:300 300 0.1 &
pids=($!)
sleep 2
part_requests draft /draft/named-stream 5e:800,7a:300,dead1:100 80 0.3 &
pids+=($!)
sleep 8
leader=$(grep -h '"event":"leads"' "$SITE"/control-[123].out |
  sed 's/.*"vm":"control-\([0-9]\)".*"term":\([0-9]*\).*/\2 \1/' | sort -n | tail -n 1 | cut -d ' ' -f 2)
site_kill "control-$leader"
part_requests chat /chat/named-stream 5e:800,dead2:100 60 0.3 &
pids+=($!)
sleep 2
platform_vm control "$leader" 3
wait "${pids[@]}"
part_check draft
part_check chat
sound_check sound 300
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "a prompt part that crashes upstreams is blocked, and requests that share the others are served"
