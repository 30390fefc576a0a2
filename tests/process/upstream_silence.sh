# Streams whose connection goes silent go on at the same engine on a new one;
# streams of a frozen or killed engine go on at another; the dead one gets no
# new work and is used again once it is back.  Usage: upstream_silence.sh BUILD
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

# Waits for stream $1 and checks that it is the whole answer.
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
[ "$(wc -w <<< "$expected")" = "$TOKENS" ] || site_fail "first: $expected"

# Silence.
before=$(runs e1)
site_complete 0 "$body" > "$SITE/silent" &
client=$!
sleep 0.4
curl -sf -o /dev/null "http://127.0.0.1:$((BASE_PORT + 30))/fake/silence"
wait "$client"
check_whole "$SITE/silent"
[ "$(runs e1)" = $((before + 2)) ] || site_fail "not resumed at the same engine"
[ "$(runs e2)" = 0 ] || site_fail "silence was held against the engine"
grep -q '^briarrack_silent_connections_total 1\|silent_connections_total 1' \
  <(curl -s "http://127.0.0.1:$((BASE_PORT + 10))/metrics") ||
  site_fail "no silent connection counted"

# A frozen engine: connects, but never answers.
site_complete 0 "$body" > "$SITE/frozen" &
client=$!
sleep 0.4
kill -STOP "$(site_pid e1)"
wait "$client"
check_whole "$SITE/frozen"
grep -q '"event":"down","peer":"e1"' "$SITE/castillos-1.log" ||
  site_fail "frozen engine is not down"
before=$(runs e1)
site_complete 1 "$body" > "$SITE/while_frozen"
check_whole "$SITE/while_frozen"
kill -CONT "$(site_pid e1)"
for i in $(seq 50); do
  grep -q '"event":"back","peer":"e1"' "$SITE/castillos-1.log" && break
  sleep 0.1
done
grep -q '"event":"back","peer":"e1"' "$SITE/castillos-1.log" ||
  site_fail "engine that woke is not used again"

# A killed engine, several streams at once.
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
