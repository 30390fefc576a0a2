# Checks that the trial of a request is not given up while its upstream may still
# answer: a request that was lost at upstreams that stalled is answered by its
# first trial, although that takes longer than a slow attempt.
# Usage: platform_trial_slow.sh BUILD
set -u
BUILD=$1
BASE_PORT=30390
. "$(dirname "$0")/../support/platform_site.sh"

# send ID: sends the request; prints the status
send() { platform_request 1 "$1" /look/slow -X POST -d "the body" | tail -n 1; }

platform_up 3 1
kill -STOP "$(site_pid p1)" "$(site_pid p2)"
for i in 1 2 3 4 5 6; do
  send "lost-$i" > /dev/null
  grep -q '"event":"ban proposed"' "$SITE"/control-[123].out && break
  sleep 0.6
done
kill -CONT "$(site_pid p1)" "$(site_pid p2)"
grep -q '"event":"ban proposed"' "$SITE"/control-[123].out ||
  site_fail "the request is not blocked after $i losses"
for i in $(seq 40); do
  status=$(send "again-$i")
  grep -q '"event":"trial begins"' "$SITE/entry-1.out" && break
  sleep 0.25
done
grep -q '"event":"trial begins"' "$SITE/entry-1.out" || site_fail "no trial in $i requests"
[ "$status" = 200 ] || site_fail "the trial, again-$i, ended with status $status, not 200"
status=$(send after)
[ "$status" = 200 ] || site_fail "after the trial: status $status, not 200"
echo "a slow trial is answered"
