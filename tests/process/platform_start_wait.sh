# Checks that a starting entry VM lets requests wait for a bounded time until it has
# the configuration and the list of upstreams, and that a restarted control VM
# serves what was committed before it stopped, even without a leader.
# Usage: platform_start_wait.sh BUILD
set -u
BUILD=$1
BASE_PORT=26800
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 1
sleep 0.5 # the control VMs store what is committed

# Repeats the request until the VM accepts connections; prints the status and the
# duration of the last request in seconds.
request_at_start() {
  local i got
  for i in $(seq 300); do
    got=$(curl -s -m 8 -D "$SITE/head" -o "$SITE/body" -w '%{http_code} %{time_total}' \
      -H 'Host: h.example' -H "X-Request-Id: $1" -H 'X-Deadline-Ms: 4000' \
      -H "Authorization: Bearer $PLATFORM_KEY" "http://127.0.12.1:$BASE_PORT/look/good")
    [ "${got%% *}" = 000 ] || break
    sleep 0.01
  done
  echo "$got"
}

# 1. Only one control VM of three restarts and cannot lead: the entry VM serves by the
# configuration that was in force.
site_kill control-1 control-2 control-3 entry-1
platform_vm control 1 3
control_listens() { curl -s -m 1 -o /dev/null "http://127.0.11.1:$((BASE_PORT + 1))/readyz"; }
platform_wait control_listens || site_fail "control VM 1 does not answer after its restart"
platform_vm entry 1 3
got=$(request_at_start first)
[ "${got%% *}" = 200 ] || site_fail "first after the start: $got: $(cat "$SITE/body")"
grep -q '"role":"leader"' "$SITE/control-1.out" && site_fail "one control VM of three leads"
echo "served by the stored configuration without a leader"

# 2. No control VM answers: a request is refused with a Retry-After after a bounded
# wait, a later one at once.
site_kill control-1 entry-1
platform_vm entry 1 3
got=$(request_at_start second)
[ "${got%% *}" = 503 ] || site_fail "second after the start: $got"
grep -qi '^Retry-After:' "$SITE/head" || site_fail "no Retry-After"
awk "BEGIN { exit !(${got#* } >= 0.4) }" || site_fail "the second request waited ${got#* } s, at least 0.4 s expected"
sleep 1.5
got=$(request_at_start third)
[ "${got%% *}" = 503 ] || site_fail "third after the start: $got"
awk "BEGIN { exit !(${got#* } < 0.45) }" ||
  site_fail "the third request waited ${got#* } s, less than 0.45 s expected"
echo "requests refused after a bounded wait, later ones at once"
