# Guards against a caller that gets the answer to another request.  An engine
# writes each answer once more on a kept connection: right behind the answer,
# a little later, and while the next request is being sent.  Every caller must
# get its own answer, and such bytes are logged.  Each kind goes through another
# VM, as a VM keeps no connections to that engine for a while.
# Usage: upstream_answer_out_of_turn.sh BUILD
set -u
BUILD=$1
BASE_PORT=31500
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"

E1=$((BASE_PORT + 30))
failed=

# Starts the engine that writes answers again at time $1.
engine_up() {
  raw_start "$E1" "$1" --keep --again "$1"
  sleep 1.2 # the VMs have to detect that the engine is up
}

# Sends the request in $4 with prompt $3 through VM number $2, and checks that
# the answer is its own.
check_own() {
  local out=$SITE/answer-$1-$3
  site_complete "$2" "$4" > "$out" 2>&1
  [ "$(raw_text "$out")" = "own-$3 " ] ||
    failed="$failed $1: prompt $3 got '$(raw_text "$out")'."
  grep -q '^data: \[DONE\]$' "$out" || failed="$failed $1: $3 has no end."
}

check_logged() {
  grep -q '"event":"out_of_turn","peer":"e1"' "$SITE/${SITE_VMS[$2]}.log" ||
    failed="$failed $1: not logged."
}

site_init
raw_site_up
{ raw_event 'own-%P '; raw_done; } |
  raw_answer 200 'Content-Type: text/event-stream' > "$SITE/joined"
cp "$SITE/joined" "$SITE/idle"
cp "$SITE/joined" "$SITE/early"

engine_up joined
for i in 1 2 3 4 5 6; do check_own joined 0 "p$i" "$(raw_body "p$i")"; done
check_logged joined 0
[ "$(grep -c '"run"' "$SITE/raw-joined.out")" = 6 ] ||
  failed="$failed joined: $(grep -c '"run"' "$SITE/raw-joined.out") runs for 6 requests."
site_kill raw-joined 2> /dev/null

engine_up idle
for i in 1 2 3 4; do
  check_own idle 1 "i$i" "$(raw_body "i$i")"
  sleep 0.15
done
check_logged idle 1
site_kill raw-idle 2> /dev/null

# Calls that run at most once never use a connection again.
cp "$SITE/joined" "$SITE/once"
raw_start $((BASE_PORT + 40)) once --keep --again joined
sleep 0.7
for i in 1 2 3; do
  # A call that was refused because a health check was late did not run.
  for _ in $(seq 10); do
    site_call 1 "once-$i" "{\"content\":\"c$i\"}" > "$SITE/once-$i" 2>&1
    grep -q '"outcome":"not_run"' "$SITE/once-$i" || break
    sleep 0.3
  done
  [ "$(raw_text "$SITE/once-$i")" = "own-c$i " ] ||
    failed="$failed once: call c$i got '$(raw_text "$SITE/once-$i")'."
done
[ "$(grep -c '"run"' "$SITE/raw-once.out")" = 3 ] ||
  failed="$failed once: $(grep -c '"run"' "$SITE/raw-once.out") runs for 3 calls."
site_kill raw-once 2> /dev/null

engine_up early
filler=$(head -c 1500000 /dev/zero | tr '\0' 'x')
for i in 1 2 3; do
  body=$(raw_body "q$i")
  printf '%s,{"role":"user","content":"%s"}]}' "${body%]\}}" "$filler" \
    > "$SITE/long-$i"
  check_own early 2 "q$i" "@$SITE/long-$i"
done
check_logged early 2
grep -q '"early"' "$SITE/raw-early.out" ||
  failed="$failed early: no answer was written early."
[ -z "$failed" ] || site_fail "$failed"
echo "upstream answer out of turn: ok"
