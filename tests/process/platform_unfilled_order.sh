# Checks that an order for upstreams is repeated when fewer run than were ordered, for longer
# than they take to boot: the platform has accepted it, but filled only as much of it as its
# limits allowed then.  The platform here fills no order at all.
# Usage: platform_unfilled_order.sh BUILD
set -u
BUILD=$1
BASE_PORT=31500
. "$(dirname "$0")/../support/platform_site.sh"

MAX=4 # upstreams, of which one that runs stays until others are ready
ORDERED=3
WATCH_S=10
# Repeats in that time, with a boot of 0.5 s and 3 s until a VM is listed.
REPEATS_MAX=3

platform_up 3 1
scaling="\"Scaling\": {\"Min\": 1, \"Max\": $MAX, \"BootS\": 0.5, \"SpotPrice\": 0.2,"
scaling="$scaling \"ZonePrices\": {\"castillos\": 1}}"
platform_configuration 2 | sed "s/\"Name\": \"llm\",/& $scaling,/" > "$SITE/2.json"
[ "$(platform_put 1 "$SITE/2.json")" = 200 ] || site_fail "configuration 2 is not accepted"
orders() {
  grep '"duty":"scaling"' "$SITE/cloud.out" | grep '"Spot": *true' |
    grep -c "\"DesiredCount\": *$ORDERED\b"
}
ordered() { [ "$(orders)" -ge 1 ]; }
platform_wait ordered || site_fail "no upstreams were ordered: $(cat "$SITE/cloud.out")"
sleep $WATCH_S
n=$(orders)
echo "$ORDERED upstreams were ordered $n times in $WATCH_S s" >&2
[ "$n" -ge 2 ] || site_fail "the order that was not filled was not repeated"
[ "$n" -le $((1 + REPEATS_MAX)) ] || site_fail "the order was repeated $((n - 1)) times"
echo "orders that are not filled are repeated"
