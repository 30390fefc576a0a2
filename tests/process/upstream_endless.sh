# An upstream that sends a head or a body without end costs one failed answer:
# its connection is closed, the memory of the entry VM stays bounded, and other
# requests are served meanwhile.  Usage: upstream_endless.sh BUILD
set -u
BUILD=$1
BASE_PORT=25700
. "$(dirname "$0")/../support/site.sh"

# What such requests may cost, in KB, and how many there are at once.
MEMORY_KB=65536
AT_ONCE=4

# The sanitizer keeps freed memory otherwise.
export ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64

# Ends an answer is to have, in seconds.
ANSWER_S=12

memory_kb() {
  sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(site_pid castillos-1)/status"
}

site_init
site_start_engine 1
for i in 0 1 2; do site_start_vm "$i"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_declarations > "$SITE/declarations.json"
site_apply "$SITE/declarations.json" > /dev/null || site_fail "apply"
innocent='{"model":"contract-lm","stream":true,"max_tokens":6,
  "messages":[{"role":"user","content":"draft"}]}'
site_complete 0 "$innocent" > /dev/null || site_fail "the engine does not answer"
idle=$(memory_kb)
failed=
for fault in endless-line endless-headers endless-chunks endless-body; do
  site_start "ledger-$fault" "$BUILD/fake_broken" --port $((BASE_PORT + 40)) --fault "$fault"
  site_wait "http://127.0.0.1:$((BASE_PORT + 40))/health"
  sleep 1.5 # until the VMs have seen that it is back
  pids=()
  for i in $(seq $AT_ONCE); do
    site_call 0 "$fault-$i" "{\"n\":$i}" --max-time $ANSWER_S -o "$SITE/$fault-$i.answer" \
      -w '%{http_code}' > "$SITE/$fault-$i.status" 2> "$SITE/$fault-$i.curl" &
    pids+=($!)
  done
  sleep 0.3
  for i in 1 2 3; do
    site_complete 0 "$innocent" | grep -q 'data: \[DONE\]' ||
      failed="$failed $fault: the engine was not served."
  done
  for pid in "${pids[@]}"; do
    wait "$pid" || failed="$failed $fault: no end of the answer in $ANSWER_S s."
  done
  sleep 1
  broken=$(grep -c '"broken"' "$SITE/ledger-$fault.out")
  closed=$(grep -c '"closed"' "$SITE/ledger-$fault.out")
  [ "$broken" -ge 1 ] || failed="$failed $fault: not asked."
  [ "$closed" = "$broken" ] || failed="$failed $fault: $closed of $broken connections closed."
  grep -q 200 "$SITE/$fault"-*.status && failed="$failed $fault: looks complete."
  used=$(($(memory_kb) - idle))
  echo "$fault: $broken sent, $closed closed, status $(sort -u "$SITE/$fault"-*.status | paste -sd ,), $used KB above idle so far" >&2
  [ "$used" -le "$MEMORY_KB" ] || failed="$failed $fault: $used KB."
  site_kill "ledger-$fault"
done
[ -z "$failed" ] || site_fail "$failed"
echo "an upstream without end costs one failed answer"
