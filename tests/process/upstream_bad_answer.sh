# Checks that a broken answer does not fail the request or the entry VM.  Engine
# 1 cuts a chunk short, or sends invalid UTF-8 or an event that is not JSON: the
# VM must log an error with step and peer, count it, and get the answer from
# another engine.  Also checks that engines which die after a reclaim notice do
# not put the request that ran on them into quarantine.
# Usage: upstream_bad_answer.sh BUILD
set -u
BUILD=$1
BASE_PORT=25600
PLATFORM=$((BASE_PORT + 90))
. "$(dirname "$0")/../support/site.sh"

body='{"model":"contract-lm","stream":true,"max_tokens":6,
  "messages":[{"role":"user","content":"draft"}]}'

metric() {
  curl -s "http://127.0.0.1:$((BASE_PORT + 10))/metrics" |
    grep "$1" | grep -v '^#' | grep -o '[0-9]*$'
}

# Sends requests until engine 1 has broken one answer, and checks each answer.
check_fault() {
  local fault=$1 step=$2 i before
  before=$(metric "$3")
  site_start "e1-$fault" "$BUILD/fake_broken" --port $((BASE_PORT + 30)) \
    --fault "$fault"
  site_wait "http://127.0.0.1:$((BASE_PORT + 30))/health"
  for i in $(seq 40); do
    site_complete 0 "$body" > "$SITE/$fault-answer"
    grep -q '^data: \[DONE\]$' "$SITE/$fault-answer" ||
      site_fail "$fault: the answer is not complete: $(cat "$SITE/$fault-answer")"
    grep -q broken "$SITE/e1-$fault.out" && break
    sleep 0.1
  done
  grep -q broken "$SITE/e1-$fault.out" || site_fail "$fault: engine 1 broke no answer"
  grep -q "\"step\":\"$step\",\"peer\":\"e1\"" "$SITE/castillos-1.log" ||
    site_fail "$fault: no log line with step $step and peer e1"
  [ "$(metric "$3")" -gt "$before" ] || site_fail "$fault: $3 did not grow"
  kill -9 "$(site_pid "e1-$fault")"
  wait "$(site_pid "e1-$fault")" 2> /dev/null
}

platform_post() {
  curl -sf -o /dev/null --max-time 5 -d "$2" \
    "http://127.0.0.1:$PLATFORM/fake/$1" || site_fail "platform: $1"
}

site_init
more="\"platform\": {\"address\": \"127.0.0.1\", \"port\": $PLATFORM,
  \"poll_ms\": 200}"
site_start platform "$BUILD/fake_platform" --port "$PLATFORM"
site_start_engine 2
for i in 0 1 2; do site_start_vm "$i" "$more"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_declarations > "$SITE/declarations.json"
site_apply "$SITE/declarations.json" > /dev/null || site_fail "apply"
check_fault chunk "first token" attempts_failed_total
check_fault utf8 "read event" protocol_errors_total
check_fault json "read event" protocol_errors_total

# Two engines get a reclaim notice and die at once.  The same request runs first
# on one and then on the other.
long='{"model":"contract-lm","stream":true,"max_tokens":120,
  "messages":[{"role":"user","content":"long"}]}'
for i in 3 4; do
  site_start "e$i" "$BUILD/fake_engine" --name "e$i" \
    --port $((BASE_PORT + 29 + i)) --token-ms 20
  platform_post vm "{\"name\":\"e$i\",\"role\":\"upstream\",\"incarnation\":1,
    \"failure_domain\":\"castillos\",\"address\":\"127.0.0.1\",
    \"port\":$((BASE_PORT + 29 + i)),\"state\":\"live\",
    \"labels\":{\"model\":\"contract-lm\"}}"
done
sleep 1
site_complete 0 "$long" > "$SITE/reclaimed" &
client=$!
for round in 1 2; do
  sleep 0.6
  for i in 3 4; do
    [ "$(grep -c '"run"' "$SITE/e$i.out")" = 1 ] || continue
    kill -0 "$(site_pid "e$i")" 2> /dev/null || continue
    platform_post notice "{\"vm\":\"e$i\",\"incarnation\":1,\"leave_in_ms\":100}"
    kill -9 "$(site_pid "e$i")"
    break
  done
done
wait "$client"
grep -q '^data: \[DONE\]$' "$SITE/reclaimed" ||
  site_fail "the answer of the reclaimed engines is not complete: $(tail -n 3 "$SITE/reclaimed")"
sleep 1
[ "$(site_complete 1 "$long" -o /dev/null -w '%{http_code}')" = 200 ] ||
  site_fail "the request that ran on reclaimed VMs is quarantined"
echo "upstream bad answer: ok"
