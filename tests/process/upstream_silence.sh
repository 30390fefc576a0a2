# Checks that streams survive stalled connections and dead engines.  A stream
# whose connection stalls resumes at the same engine on a new connection.  A
# stream of a frozen or killed engine resumes at another engine.  A frozen engine
# is logged as down until it answers again, and a request through another VM is
# served meanwhile.  Usage: upstream_silence.sh BUILD
set -u
BUILD=$1
BASE_PORT=25100
. "$(dirname "$0")/../support/site.sh"

TOKENS=40
body='{"model":"contract-lm","stream":true,"max_tokens":40,
  "messages":[{"role":"user","content":"draft"}]}'

# Prints the text of a stream.
text_of() {
  grep -o 't[0-9]*-[0-9a-f]* ' "$1" | tr -d '\n'
}

# Checks that file $1 has the whole answer.
check_whole() {
  grep -q '^data: \[DONE\]$' "$1" || site_fail "$1 has no end: $(tail -n 3 "$1")"
  [ "$(text_of "$1")" = "$expected" ] || site_fail "$1 is not the whole answer"
}

runs() { grep -c '"run"' "$SITE/$1.out"; }

site_init
bounds='"upstream": {"token_gap_ms": 400, "connect_ms": 500}'
site_start_engine 1 --token-ms 30
site_start_engine 2 --token-ms 30
for i in 0 1 2; do site_start_vm "$i" "$bounds"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_declarations > "$SITE/declarations.json"
site_apply "$SITE/declarations.json" > /dev/null || site_fail "apply"
site_complete 0 "$body" > "$SITE/first" || site_fail "first answer"
expected=$(text_of "$SITE/first")
[ "$(wc -w <<< "$expected")" = "$TOKENS" ] || site_fail "the first answer does not have $TOKENS tokens: $expected"

# The engine answers, but its open connections stall.
before=$(runs e1)
site_complete 0 "$body" > "$SITE/stalled" &
client=$!
sleep 0.4
curl -sf -o /dev/null "http://127.0.0.1:$((BASE_PORT + 30))/fake/silence"
wait "$client"
check_whole "$SITE/stalled"
[ "$(runs e1)" = $((before + 2)) ] || site_fail "the stalled stream was not resumed at the same engine"
[ "$(runs e2)" = 0 ] || site_fail "the stalled stream was moved to another engine"
grep -q '^briarrack_silent_connections_total 1\|silent_connections_total 1' \
  <(curl -s "http://127.0.0.1:$((BASE_PORT + 10))/metrics") ||
  site_fail "silent_connections_total is not 1"

# A frozen engine accepts connections but never answers.
site_complete 0 "$body" > "$SITE/frozen" &
client=$!
sleep 0.4
kill -STOP "$(site_pid e1)"
wait "$client"
check_whole "$SITE/frozen"
grep -q '"event":"down","peer":"e1"' "$SITE/castillos-1.log" ||
  site_fail "the frozen engine was not marked as down"
site_complete 1 "$body" > "$SITE/while_frozen"
check_whole "$SITE/while_frozen"
kill -CONT "$(site_pid e1)"
for i in $(seq 50); do
  grep -q '"event":"back","peer":"e1"' "$SITE/castillos-1.log" && break
  sleep 0.1
done
grep -q '"event":"back","peer":"e1"' "$SITE/castillos-1.log" ||
  site_fail "the engine that runs again was not marked as back"

# An engine is killed with several streams in progress.
clients=()
for i in 1 2 3; do
  site_complete $((i - 1)) "$body" > "$SITE/killed-$i" &
  clients+=($!)
done
sleep 0.4
kill -9 "$(site_pid e1)"
wait "${clients[@]}"
for i in 1 2 3; do check_whole "$SITE/killed-$i"; done
echo "upstream silence: ok"
