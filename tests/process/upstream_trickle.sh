# Checks that a stream which sends single bytes and never completes an event counts
# as stalled and resumes at another engine, and that a slow stream whose events
# arrive within the time limit is not cut.  Usage: upstream_trickle.sh BUILD
set -u
BUILD=$1
BASE_PORT=25800
. "$(dirname "$0")/../support/site.sh"

body() { echo "{\"model\":\"contract-lm\",\"stream\":true,\"max_tokens\":12,
  \"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"; }

site_init
site_start_engine 2 --token-ms 350
for i in 0 1 2; do site_start_vm "$i" '"upstream": {"token_gap_ms": 600, "first_token_ms": 1500}'; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_declarations > "$SITE/declarations.json"
site_apply "$SITE/declarations.json" > /dev/null || site_fail "apply"
site_complete 0 "$(body slow)" > "$SITE/slow"
grep -q '^data: \[DONE\]$' "$SITE/slow" || site_fail "the slow stream: $(cat "$SITE/slow")"
[ "$(grep -c '"run"' "$SITE/e2.out")" = 1 ] || site_fail "the slow stream ran more than once"
site_start e1 "$BUILD/fake_broken" --port $((BASE_PORT + 30)) --fault trickle
site_wait "http://127.0.0.1:$((BASE_PORT + 30))/health"
for i in $(seq 20); do
  site_complete 0 "$(body "$i")" --max-time 20 > "$SITE/$i" ||
    site_fail "request $i has no end: $(cat "$SITE/$i")"
  grep -q '^data: \[DONE\]$' "$SITE/$i" || site_fail "request $i: $(cat "$SITE/$i")"
  grep -q broken "$SITE/e1.out" && break
done
grep -q broken "$SITE/e1.out" || site_fail "engine 1 got no request"
sleep 0.5
grep -q closed "$SITE/e1.out" || site_fail "the stalled connection is still open"
echo "upstream trickle: ok"
