# Guards against a planned stop that cuts streams or looks like a failure.  The
# stop must finish the stream even after further signals, be announced to the
# peers, and end with exit code 0.  A killed VM must be logged as down, and after
# its restart as up and not leaving.  Usage: domain_planned_stop.sh BUILD
set -u
BUILD=$1
BASE_PORT=25300
. "$(dirname "$0")/../support/site.sh"

body='{"model":"contract-lm","stream":true,"max_tokens":60,
  "messages":[{"role":"user","content":"draft"}]}'

# Waits until VM $1 logs a line that matches $2, from line $3 on.
wait_log() {
  local i
  for i in $(seq 100); do
    tail -n "+${3:-1}" "$SITE/$1.log" | grep -q "$2" && return 0
    sleep 0.1
  done
  site_fail "$1 did not log $2 within 10 s"
}

site_init
site_up --token-ms 40 > /dev/null || site_fail "site does not come up"

site_complete 0 "$body" > "$SITE/stream" &
client=$!
sleep 0.5
kill -TERM "$(site_pid castillos-1)"
sleep 0.1
[ "$(curl -s -o /dev/null -w '%{http_code}' \
  "http://127.0.0.1:$BASE_PORT/readyz")" = 503 ] ||
    site_fail "/readyz of a stopping VM is not 503"
kill -TERM "$(site_pid castillos-1)"
kill -INT "$(site_pid castillos-1)"
wait "$client"
[ "$(grep -c '^id: ' "$SITE/stream")" -ge 60 ] ||
  site_fail "the stream has fewer than 60 events"
grep -q '^data: \[DONE\]$' "$SITE/stream" ||
  site_fail "the stream has no [DONE]"
wait "$(site_pid castillos-1)"
status=$?
[ "$status" = 0 ] || site_fail "the stopped VM ended with exit code $status"
wait_log lascano-1 '"peer":"castillos-1".*"leaving":1'
wait_log castillos-2 '"peer":"castillos-1".*"leaving":1'

kill -9 "$(site_pid lascano-1)"
wait_log castillos-2 '"peer":"lascano-1".*"state":"down"'
lines=$(wc -l < "$SITE/castillos-2.log")
site_start_vm 2
wait_log castillos-2 '"peer":"lascano-1".*"state":"up","leaving":0' "$lines"
echo "domain planned stop: ok"
