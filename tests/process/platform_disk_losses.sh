# Checks that control VMs that are silent keep their votes where a smaller log could lose
# what it acknowledged: site.disk_losses of 2 leaves five voters, of 1 leaves three.
# Usage: platform_disk_losses.sh BUILD
set -u
BUILD=$1
BASE_PORT=30800
. "$(dirname "$0")/../support/platform_site.sh"

voters() {
  curl -s -m 1 "http://127.0.11.1:$((BASE_PORT + 8))/metrics" |
    sed -n 's/^briarrack_log_voters //p'
}
has_voters() { [ "$(voters)" = "$1" ]; }
site_init
platform_upstreams
for losses in 2 1; do
  for i in 1 2 3 4 5; do
    platform_settings control "$i" 3 | sed "s/\"site\": {/&\"disk_losses\": $losses, /" \
      > "$SITE/control-$i.json"
    site_start "control-$i" "$BUILD/briarrack" serve "$SITE/control-$i.json"
  done
  platform_wait has_voters 5 || site_fail "disk_losses $losses: $(voters) voters, not 5"
  sleep 1
  leader=$(platform_leader 1 2 3 4 5)
  # Two that neither lead nor answer for voters().
  frozen=$(for i in 5 4 3 2; do [ "$i" = "$leader" ] || echo "$i"; done | head -n 2)
  # shellcheck disable=SC2046,SC2086
  kill -STOP $(for i in $frozen; do site_pid "control-$i"; done)
  if [ "$losses" = 2 ]; then
    sleep 6
    has_voters 5 || site_fail "$(voters) voters are left of 5 that must hold two losses"
  else
    platform_wait_ms 8000 has_voters 3 || site_fail "$(voters) voters are left, not 3"
  fi
  # shellcheck disable=SC2046,SC2086
  kill -CONT $(for i in $frozen; do site_pid "control-$i"; done)
  platform_wait has_voters 5 || site_fail "$(voters) voters after the freeze, not 5"
  site_kill control-1 control-2 control-3 control-4 control-5
  rm -rf "$SITE"/disk-*
  mkdir "$SITE"/disk-1 "$SITE"/disk-2 "$SITE"/disk-3 "$SITE"/disk-4 "$SITE"/disk-5
done
# A reload takes another figure into use, without a restart.
for i in 1 2 3 4 5; do
  platform_settings control "$i" 3 | sed "s/\"site\": {/&\"disk_losses\": 2, /" \
    > "$SITE/control-$i.json"
  site_start "control-$i" "$BUILD/briarrack" serve "$SITE/control-$i.json"
done
platform_wait has_voters 5 || site_fail "after the second start: $(voters) voters, not 5"
sleep 1
leader=$(platform_leader 1 2 3 4 5)
frozen=$(for i in 5 4 3 2; do [ "$i" = "$leader" ] || echo "$i"; done | head -n 2)
# shellcheck disable=SC2046,SC2086
kill -STOP $(for i in $frozen; do site_pid "control-$i"; done)
for i in 1 2 3 4 5; do
  sed -i 's/"disk_losses": 2/"disk_losses": 1/' "$SITE/control-$i.json"
  # A frozen process takes the signal when it goes on.
  kill -HUP "$(site_pid "control-$i")"
done
platform_wait_ms 8000 has_voters 3 || site_fail "$(voters) voters are left after the reload, not 3"
# shellcheck disable=SC2046,SC2086
kill -CONT $(for i in $frozen; do site_pid "control-$i"; done)
platform_wait has_voters 5 || site_fail "$(voters) voters after the freeze, not 5"
echo "silent voters stay as far as lost disks require"
