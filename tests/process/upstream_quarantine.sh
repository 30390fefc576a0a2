# Checks the quarantine.  A request that has crashed two engines must be refused
# by every entry VM, also after the engines were restarted, and a request that
# ran at the same time must be answered.  Usage: upstream_quarantine.sh BUILD
set -u
BUILD=$1
BASE_PORT=25200
. "$(dirname "$0")/../support/site.sh"

poison='{"model":"contract-lm","max_tokens":8,
  "messages":[{"role":"user","content":"poison"}]}'
innocent='{"model":"contract-lm","max_tokens":30,
  "messages":[{"role":"user","content":"beside"}]}'

# Starts engine $1 with $2 ms per token.  Engines 3 and 4 are in the VM list.
start_engine() {
  site_start "e$1" "$BUILD/fake_engine" --name "e$1" \
    --port $((BASE_PORT + 29 + $1)) --token-ms "$2" --crash-on poison
}

site_init
more="\"platform\": {\"address\": \"127.0.0.1\",
  \"port\": $((BASE_PORT + 50)), \"poll_ms\": 200}"
{
  echo '['
  for i in 3 4; do
    [ "$i" = 4 ] && echo ','
    echo "{\"name\":\"e$i\",\"role\":\"upstream\",\"incarnation\":1,
      \"failure_domain\":\"lascano\",\"address\":\"127.0.0.1\",
      \"port\":$((BASE_PORT + 29 + i)),\"state\":\"live\",
      \"labels\":{\"model\":\"contract-lm\"}}"
  done
  echo ']'
} > "$SITE/vms.json"
site_start platform "$BUILD/fake_platform" --port $((BASE_PORT + 50)) \
  --vms "$SITE/vms.json"
for i in 1 2 3 4; do start_engine "$i" 30; done
for i in 0 1 2; do site_start_vm "$i" "$more"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_declarations > "$SITE/declarations.json"
site_apply "$SITE/declarations.json" > /dev/null || site_fail "apply"

sleep 1
site_complete 0 "$innocent" > "$SITE/innocent" &
client=$!
sleep 0.3
status=$(site_complete 0 "$poison" -o "$SITE/poison" -w '%{http_code}')
[ "$status" = 422 ] || site_fail "poison: status $status, not 422: $(cat "$SITE/poison")"
wait "$client"
grep -q '"finish_reason":"length"' "$SITE/innocent" ||
  site_fail "the request that ran at the same time was not answered: $(cat "$SITE/innocent")"
down=()
for i in 1 2 3 4; do
  kill -0 "$(site_pid "e$i")" 2> /dev/null || down+=("$i")
done
[ "${#down[@]}" = 2 ] || site_fail "2 engines should have crashed, crashed: ${down[*]}"

# The crashed engines are restarted.  A resend must not run on any engine.
for i in "${down[@]}"; do start_engine "$i" 5; done
for i in 0 1 2; do
  for try in $(seq 50); do
    [ "$(site_complete "$i" "${innocent/beside/after}" -o /dev/null \
      -w '%{http_code}')" = 200 ] && break
    sleep 0.1
  done
  status=$(site_complete "$i" "$poison" -o /dev/null -w '%{http_code}')
  [ "$status" = 422 ] || site_fail "resend through VM $i: status $status, not 422"
  status=$(site_complete "$i" "$innocent" -o /dev/null -w '%{http_code}')
  [ "$status" = 200 ] || site_fail "other request through VM $i: status $status, not 200"
done
for i in 1 2 3 4; do
  kill -0 "$(site_pid "e$i")" 2> /dev/null || site_fail "e$i crashed again"
done
echo "upstream quarantine: ok"
