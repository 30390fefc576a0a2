# Checks that what was acknowledged stays when all control VMs stop as planned, at once or one
# after the other, and when power and a disk are lost right after planned stops.
# Usage: platform_stop_all_control.sh BUILD
set -u
BUILD=$1
BASE_PORT=32900
. "$(dirname "$0")/../support/platform_site.sh"

N=5
site_init
platform_upstreams
for i in $(seq $N); do platform_vm control "$i" 3; done
VERSION=0
# Puts the next configuration at one of the VMs.
put_next() {
  VERSION=$((VERSION + 1))
  platform_configuration $VERSION > "$SITE/next.json"
  put_any() {
    local i
    for i in "$@"; do
      [ "$(platform_put "$i" "$SITE/next.json")" = 200 ] && return 0
    done
    return 1
  }
  platform_wait put_any "$@" || site_fail "configuration $VERSION is not accepted"
}
read_newest() { platform_read "$1" | grep -q "\"Version\": $VERSION[,}]"; }
voters() {
  curl -s -m 1 "http://127.0.11.1:$((BASE_PORT + 8))/metrics" |
    sed -n 's/^briarrack_log_voters //p'
}
has_all() { [ "$(voters)" = $N ]; }
check_all() {
  local i
  for i in $(seq $N); do
    platform_wait_ms 10000 read_newest "$i" ||
      site_fail "$1: VM $i does not read configuration $VERSION: $(platform_read "$i")"
  done
  platform_wait_ms 10000 has_all || site_fail "$1: $(voters) voters, not $N"
}
terminate() { local i; for i in "$@"; do kill -TERM "$(site_pid "control-$i")"; done; }
ended() { local i; for i in "$@"; do wait "$(site_pid "control-$i")"; done; }
start() {
  local i
  for i in "$@"; do site_start "control-$i" "$BUILD/briarrack" serve "$SITE/control-$i.json"; done
}
put_next 1 2 3
platform_wait_ms 10000 has_all || site_fail "$(voters) voters at the start, not $N"

put_next 1 2 3
terminate 1 2 3 4 5
ended 1 2 3 4 5
start 1 2 3 4 5
check_all "stopped at once"

for i in 1 2 3 4 5; do
  terminate "$i"
  ended "$i"
  put_next $(seq $N | grep -v "^$i$")
  start "$i"
done
check_all "restarted one after the other"

terminate 2 4 5
put_next 1 3
ended 2 4 5
put_next 1 3
start 2 4 5
check_all "three stopped"

terminate 1 2
put_next 3 4 5
ended 1 2
site_kill control-3 control-4 control-5
rm -rf "$SITE/disk-3"
mkdir "$SITE/disk-3"
platform_settings control 3 3 false > "$SITE/control-3.json"
start 1 2 3 4 5
check_all "power and a disk lost after two planned stops"
echo "what was acknowledged stays across planned stops"
