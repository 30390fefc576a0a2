# Checks that streams that broke off, and whose rest all upstreams refuse, are
# retried only as often as the site's budget for repeats allows.
# Usage: platform_stream_repeats.sh BUILD
set -u
BUILD=$1
BASE_PORT=27100
. "$(dirname "$0")/../support/platform_site.sh"

STREAMS=6
# Repeats that the settings' ratio and slack allow over all entry VMs.
ALLOWED=$((STREAMS / 5 + 50))

platform_up 1 1
pids=()
for i in $(seq $STREAMS); do
  platform_request 1 "s$i" /draft/refuse-rest -X POST -d "body $i" > "$SITE/s$i.answer" &
  pids+=($!)
done
wait "${pids[@]}"
repeats=$(cat "$SITE"/r[12].out | grep -c '"refused"')
[ "$repeats" -gt 0 ] || site_fail "the rest of no stream was requested"
[ "$repeats" -le "$ALLOWED" ] ||
  site_fail "$STREAMS streams were repeated $repeats times, $ALLOWED allowed"
echo "repeats of streams stay within the budget"
