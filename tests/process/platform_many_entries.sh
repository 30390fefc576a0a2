# Checks that three control VMs keep one leader, and acknowledge a configuration,
# while 300 entry VMs, each with requests of 40 organisations, report to them.  The
# entry VMs report their loads four times as often as real ones.
# Usage: platform_many_entries.sh BUILD
set -u
BUILD=$1
BASE_PORT=28500
SITE_SECONDS=120
. "$(dirname "$0")/../support/platform_site.sh"

# The platform's bound AckMs of the large site, in milliseconds.
ACK_MS=6000
WATCH_S=12

# Prints a configuration of 40 organisations, with version $1.
many_organisations() {
  local i tenants=
  for i in $(seq 0 39); do
    tenants+=", {\"Name\": \"organisation-$i\", \"ApiKeys\": [\"key-of-$i\"], \"Priority\": 1,
      \"Unit\": \"tokens\", \"PlainTokens\": 10, \"RatePerS\": 200000, \"Burst\": 200000}"
  done
  platform_configuration "$1" | sed 's/^  *"Unit": "tokens".*\]}$/&/' |
    tr -d '\n' | sed "s/]}\$/$(tr -d '\n' <<< "$tenants" | sed 's/[&/\]/\\&/g')]}/"
}

site_init
platform_upstreams
for i in 1 2 3; do platform_vm control "$i" 3; done
many_organisations 1 > "$SITE/1.json"
put_first() { [ "$(platform_put 1 "$SITE/1.json")" = 200 ]; }
platform_wait put_first || site_fail "configuration 1 is not accepted: $(cat "$SITE/put.out")"
site_start entries "$BUILD/fake_entries" --key platform-site-key --entries 300 --period-ms 25 \
  --organisations 40 --upstreams 210 --control 127.0.11.1:$((BASE_PORT + 2)) \
  --control 127.0.11.2:$((BASE_PORT + 2)) --control 127.0.11.3:$((BASE_PORT + 2))
all_registered() {
  [ "$(curl -s -m 2 "http://127.0.11.1:$((BASE_PORT + 8))/metrics" |
    sed -n 's/^briarrack_entry_vms //p')" = 300 ]
}
platform_wait all_registered || site_fail "not all of 300 entry VMs are registered"
leads() { cat "$SITE"/control-*.out | grep -c '"event":"leads"'; }
before=$(leads)
sleep $WATCH_S
many_organisations 2 > "$SITE/2.json"
began=$(date +%s%3N)
put_second() { [ "$(platform_put 2 "$SITE/2.json")" = 200 ]; }
platform_wait put_second || site_fail "configuration 2 is not accepted"
took=$(($(date +%s%3N) - began))
[ "$took" -le "$ACK_MS" ] || site_fail "configuration 2 was acknowledged after $took ms"
after=$(leads)
echo "leaders: $before before, $after after; acknowledged after $took ms" >&2
[ "$after" = "$before" ] || site_fail "the leader changed $((after - before)) times"
echo "one leader serves 300 entry VMs"
