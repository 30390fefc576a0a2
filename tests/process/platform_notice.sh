# Checks that a reclaim notice for an upstream reaches every entry VM, including
# those to which the platform does not send it, and overrides the outdated list.
# A new VM of the same name is used again.  A notice for an entry VM stops it
# without cutting its streams.
# Usage: platform_notice.sh BUILD
set -u
BUILD=$1
BASE_PORT=25000
PLATFORM=$((BASE_PORT + 50))
. "$(dirname "$0")/../support/site.sh"

fake() {
  curl -sf -o /dev/null --max-time 5 -d "$2" \
    "http://127.0.0.1:$PLATFORM/fake/$1" || site_fail "platform: $1"
}

upstream_json() {
  echo "{\"name\":\"$1\",\"role\":\"upstream\",\"failure_domain\":\"castillos\",
    \"address\":\"127.0.0.1\",\"port\":$2,\"incarnation\":$3,
    \"state\":\"live\",\"class\":\"a10\",\"price\":10,\"reclaimable\":true,
    \"labels\":{\"model\":\"leased-lm\"}}"
}

# Requests the model of the listed upstream from VM $1; prints the HTTP status.
request_status() {
  site_complete "$1" '{"model":"leased-lm","max_tokens":2,"messages":[{"role":"user","content":"x"}]}' \
    -o /dev/null -w '%{http_code}'
}

# Waits until VM $1 answers with status $2 for at most 5 s.
request_until() {
  local i
  for i in $(seq 50); do
    [ "$(request_status "$1")" = "$2" ] && return 0
    sleep 0.1
  done
  site_fail "VM $1 does not answer $2"
}

site_init
platform_settings="\"platform\": {\"address\": \"127.0.0.1\",
  \"port\": $PLATFORM, \"poll_ms\": 500}"
site_start platform "$BUILD/fake_platform" --port "$PLATFORM" --lag-ms 200
site_start_engine 1 --token-ms 50
site_start_engine 2
site_start leased "$BUILD/fake_engine" --name leased --port $((BASE_PORT + 51))
for i in 0 1 2; do site_start_vm "$i" "$platform_settings"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_declarations | sed '$d' > "$SITE/declarations.json"
echo ', {"kind": "service", "name": "leased-lm",
  "selector": "model=leased-lm"}]' >> "$SITE/declarations.json"
fake vm "$(upstream_json leased $((BASE_PORT + 51)) 1)"
# Waits for the VM list, because a selector that matches nothing is refused.
for i in $(seq 100); do
  site_apply "$SITE/declarations.json" > "$SITE/apply.out" 2>&1 && break
  sleep 0.1
done
[ "$i" -lt 100 ] || site_fail "apply: $(cat "$SITE/apply.out")"
for i in 0 1 2; do request_until "$i" 200; done

# Only castillos-2 receives the notice; the list still shows the upstream as live.
fake notice '{"vm":"leased","incarnation":1,"leave_in_ms":60000,
  "seen_by":["castillos-2"]}'
sleep 3
for i in 0 1 2; do
  [ "$(request_status "$i")" = 503 ] || site_fail "VM $i sends requests to a leaving upstream"
done
runs=$(grep -c '"run"' "$SITE/leased.out")

# A new VM of the same name is live.
fake vm "$(upstream_json leased $((BASE_PORT + 51)) 2)"
for i in 0 1 2; do request_until "$i" 200; done
[ "$(grep -c '"run"' "$SITE/leased.out")" -gt "$runs" ] ||
  site_fail "no request ran on the new VM"

# A notice for an entry VM comes in the middle of a stream.
site_complete 0 '{"model":"contract-lm","stream":true,"max_tokens":40,
  "messages":[{"role":"user","content":"draft"}]}' > "$SITE/stream" &
stream_pid=$!
sleep 0.5
fake notice '{"vm":"castillos-1","incarnation":1,"leave_in_ms":60000,
  "seen_by":["lascano-1"]}'
wait "$stream_pid"
grep -q '^data: \[DONE\]$' "$SITE/stream" || site_fail "the stream was cut by the notice"
wait "$(site_pid castillos-1)"
status=$?
[ "$status" = 0 ] || site_fail "castillos-1 exited with status $status"
grep -q '"state":"up","leaving":1' "$SITE/castillos-2.log" ||
  site_fail "castillos-2 does not show castillos-1 as leaving"
echo "platform notice: ok"
