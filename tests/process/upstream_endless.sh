# Checks that an upstream which sends an endless head, interim answer, framing or body fails only its own
# request: the entry VM closes the connection, its memory stays bounded, and it
# serves other requests meanwhile.  Usage: upstream_endless.sh BUILD
set -u
BUILD=$1
BASE_PORT=25700
. "$(dirname "$0")/../support/site.sh"

# Limit on the memory of the entry VM above idle, in KB, and number of concurrent
# requests to the endless upstream.
MEMORY_KB=65536
AT_ONCE=50

# Without these options the sanitizer keeps freed memory, which would count.
export ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64

# Time limit for the end of an answer, in seconds.
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
site_complete 0 "$innocent" > /dev/null || site_fail "the engine does not answer before the fault"
idle=$(memory_kb)
failed=
for fault in endless-status endless-interim endless-line endless-headers endless-chunk-size \
  endless-extension endless-extensions endless-trailer endless-chunks endless-body; do
  site_start "ledger-$fault" "$BUILD/fake_broken" --port $((BASE_PORT + 40)) --fault "$fault"
  site_wait "http://127.0.0.1:$((BASE_PORT + 40))/health"
  sleep 1.5 # the VMs have to detect that the service is up again
  pids=()
  for i in $(seq $AT_ONCE); do
    site_call 0 "$fault-$i" "{\"n\":$i}" --max-time $ANSWER_S -o "$SITE/$fault-$i.answer" \
      -w '%{http_code}' > "$SITE/$fault-$i.status" 2> "$SITE/$fault-$i.curl" &
    pids+=($!)
  done
  sleep 0.3
  for i in 1 2 3; do
    site_complete 0 "$innocent" | grep -q 'data: \[DONE\]' ||
      failed="$failed $fault: an engine request was not answered."
  done
  for pid in "${pids[@]}"; do
    wait "$pid" || failed="$failed $fault: an answer did not end in $ANSWER_S s."
  done
  sleep 1
  broken=$(grep -c '"broken"' "$SITE/ledger-$fault.out")
  closed=$(grep -c '"closed"' "$SITE/ledger-$fault.out")
  [ "$broken" -ge 1 ] || failed="$failed $fault: the upstream got no request."
  [ "$closed" = "$broken" ] || failed="$failed $fault: $closed of $broken connections closed."
  grep -q 200 "$SITE/$fault"-*.status && failed="$failed $fault: an answer has status 200."
  used=$(($(memory_kb) - idle))
  echo "$fault: $broken sent, $closed closed, status $(sort -u "$SITE/$fault"-*.status | paste -sd ,), $used KB above idle so far" >&2
  [ "$used" -le "$MEMORY_KB" ] || failed="$failed $fault: $used KB above idle, limit $MEMORY_KB KB."
  site_kill "ledger-$fault"
done
[ -z "$failed" ] || site_fail "$failed"
echo "upstream endless: ok"
