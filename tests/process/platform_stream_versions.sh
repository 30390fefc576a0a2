# Checks that a stream goes on only at the software version that began it: within one
# answer, and when callers take it up again at other entry VMs, after all entry VMs or all
# VMs were killed, or after the version has left.
# Usage: platform_stream_versions.sh BUILD
set -u
BUILD=$1
BASE_PORT=30500
SITE_SECONDS=120
. "$(dirname "$0")/../support/platform_site.sh"

UPSTREAMS=6
ENTRIES=3

# Streams of two versions that the platform's rule allows.
MIXED_MAX=2

# Upstreams r1 to r3 are of version v1, r4 to r6 of v2.
platform_upstreams() {
  local i list=()
  for i in $(seq $UPSTREAMS); do
    list+=(--runner "r$i,llm,castillos,$((BASE_PORT + 19 + i)),v$(((i + 2) / 3))")
  done
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) "${list[@]}"
  for i in $(seq $UPSTREAMS); do
    site_start "r$i" "$BUILD/fake_runner" --port $((BASE_PORT + 19 + i)) --id "r$i"
  done
}

# Prints the upstreams that ran request $1.
ran_at() {
  grep -h "\"run\":\"$1\"" "$SITE"/r*.out | sed 's/.*"at":"\(r[0-9]*\)".*/\1/'
}

# version_of UPSTREAM: prints its version
version_of() { echo "v$(((${1#r} + 2) / 3))"; }

# take_up ENTRY NAME: goes on with stream NAME behind its third event; prints the status
take_up() {
  platform_request "$1" "$2-again" /draft/named-stream -X POST -d "$2" -H 'X-Token-Count: 10,60' \
    -H 'Last-Event-Id: 3' -H "Resumes: $2" | tail -n 1
}

# check_take_ups NAME N: compares the versions of the streams NAME-1 to NAME-N and of
# their take-ups; sets WENT_ON and MIXED
check_take_ups() {
  local i first second
  WENT_ON=0 MIXED=0
  for i in $(seq "$2"); do
    first=$(ran_at "$1-$i" | tail -n 1)
    second=$(ran_at "$1-$i-again" | tail -n 1)
    [ -n "$second" ] || continue
    WENT_ON=$((WENT_ON + 1))
    [ "$(version_of "$first")" = "$(version_of "$second")" ] || MIXED=$((MIXED + 1))
  done
  echo "$1: $WENT_ON of $2 went on, $MIXED at another version" >&2
}

FAILED=
platform_up 3 $ENTRIES
# Within one answer: the first attempt is cut off inside the fourth event.
for i in $(seq 30); do
  platform_request $((i % ENTRIES + 1)) "within-$i" /draft/crash -X POST -d "within $i" \
    -H 'X-Token-Count: 10,60' > /dev/null
done
mixed=0 resumed=0
for i in $(seq 30); do
  at=($(ran_at "within-$i"))
  versions=$(for upstream in "${at[@]}"; do version_of "$upstream"; done | sort -u | wc -l)
  [ "${#at[@]}" -ge 2 ] && resumed=$((resumed + 1))
  [ "$versions" -gt 1 ] && mixed=$((mixed + 1))
done
echo "within: $resumed of 30 resumed, $mixed at another version" >&2
[ "$resumed" -ge 15 ] || FAILED="$FAILED $resumed of 30 streams were resumed, at least 15 are needed."
[ "$mixed" -le $MIXED_MAX ] || FAILED="$FAILED within: $mixed streams are of two versions."

# Taken up at another entry VM.
for i in $(seq 20); do
  platform_request $((i % ENTRIES + 1)) "moved-$i" /draft/named-stream -X POST -d "moved-$i" \
    -H 'X-Token-Count: 10,60' > /dev/null
done
sleep 0.3
for i in $(seq 20); do take_up $(((i + 1) % ENTRIES + 1)) "moved-$i" > /dev/null; done
check_take_ups moved 20
[ "$MIXED" -le $MIXED_MAX ] || FAILED="$FAILED moved: $MIXED streams are of two versions."
[ "$WENT_ON" -ge 10 ] || FAILED="$FAILED moved: $WENT_ON of 20 went on, at least 10 must."

# All entry VMs are killed at once and come back.
for i in $(seq 20); do
  platform_request $((i % ENTRIES + 1)) "killed-$i" /draft/named-stream -X POST -d "killed-$i" \
    -H 'X-Token-Count: 10,60' > /dev/null
done
sleep 0.3
site_kill entry-1 entry-2 entry-3
for i in $(seq $ENTRIES); do platform_vm entry "$i" 3; done
for i in $(seq $ENTRIES); do
  platform_wait platform_entry_ready "$i" || site_fail "entry VM $i is not ready"
done
for i in $(seq 20); do take_up $((i % ENTRIES + 1)) "killed-$i" > /dev/null; done
check_take_ups killed 20
[ "$MIXED" -le $MIXED_MAX ] || FAILED="$FAILED killed: $MIXED streams are of two versions."
[ "$WENT_ON" -ge 10 ] || FAILED="$FAILED killed: $WENT_ON of 20 went on, at least 10 must."

# All VMs are killed at once and come back.
for i in $(seq 20); do
  platform_request $((i % ENTRIES + 1)) "all-$i" /draft/named-stream -X POST -d "all-$i" \
    -H 'X-Token-Count: 10,60' > /dev/null
done
sleep 0.8
site_kill entry-1 entry-2 entry-3 control-1 control-2 control-3
for i in 1 2 3; do platform_vm control "$i" 3; done
for i in $(seq $ENTRIES); do platform_vm entry "$i" 3; done
for i in $(seq $ENTRIES); do
  platform_wait platform_entry_ready "$i" || site_fail "entry VM $i is not ready"
done
for i in $(seq 20); do take_up $((i % ENTRIES + 1)) "all-$i" > /dev/null; done
check_take_ups all 20
[ "$MIXED" -le $MIXED_MAX ] || FAILED="$FAILED all: $MIXED streams are of two versions."
[ "$WENT_ON" -ge 10 ] || FAILED="$FAILED all: $WENT_ON of 20 went on, at least 10 must."

# The first version leaves.  Its streams, and one that nobody knows, are refused at once.
for i in $(seq 20); do
  platform_request $((i % ENTRIES + 1)) "left-$i" /draft/named-stream -X POST -d "left-$i" \
    -H 'X-Token-Count: 10,60' > /dev/null
done
for i in 1 2 3; do curl -s "http://127.0.0.1:$((BASE_PORT + 3))/state/r$i/draining" > /dev/null; done
sleep 1.5
began=$(date +%s%N)
for i in $(seq 20); do take_up $((i % ENTRIES + 1)) "left-$i" > /dev/null; done
took_ms=$((($(date +%s%N) - began) / 1000000))
check_take_ups left 20
[ "$MIXED" -le $MIXED_MAX ] || FAILED="$FAILED left: $MIXED streams are of two versions."
[ "$took_ms" -le 20000 ] || FAILED="$FAILED left: 20 take-ups took $took_ms ms."
status=$(take_up 1 nobody-knows)
[ "$status" = 503 ] || FAILED="$FAILED unknown: a stream that nobody knows got $status, not 503."
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "streams go on only at the version that began them"
