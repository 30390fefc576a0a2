# Guards against a control VM that takes no changes any more, until it is restarted, after its disk
# was full: the disks of all three are full one after another, in each way in which a full disk
# refuses.  Meanwhile changes are acknowledged or refused soon, and nothing that was acknowledged
# is lost.  Usage: platform_full_disks.sh BUILD
set -u
BUILD=$1
BASE_PORT=32420
. "$(dirname "$0")/../support/platform_site.sh"

# What a disk refuses, as in tests/soak/soak_shim.c.
WRITES=11 # writes, reservations and new files
SYNCS=4
ALL=63

# An operator waits this long for the answer to a change, in seconds.
ANSWER_S=2

FAILED=
VERSION=1

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# control NUMBER: starts the control VM again, with a disk that disk() fills
control() {
  echo "0 0 0" > "$SITE/shim-$1"
  site_kill "control-$1" 2> /dev/null
  site_start "control-$1" env LD_PRELOAD="$BUILD/libsoak_shim.so" SOAK_SHIM="$SITE/shim-$1" \
    ASAN_OPTIONS=verify_asan_link_order=0 "$BUILD/briarrack" serve "$SITE/control-$1.json"
}

# disk NUMBER REFUSES: what the disk of the control VM refuses from now on
disk() { echo "0 0 $2" > "$SITE/shim-$1.new" && mv "$SITE/shim-$1.new" "$SITE/shim-$1"; }

# change: sends the next version to the next control VM; CODE is the answer's status, 000 without one
change() {
  VERSION=$((VERSION + 1))
  sed "s/\"Version\": 1,/\"Version\": $VERSION,/" "$SITE/1.json" > "$SITE/next.json"
  CODE=$(curl -s -m $ANSWER_S -o "$SITE/put.out" -w '%{http_code}' -X PUT --data-binary "@$SITE/next.json" \
    "http://127.0.11.$((VERSION % 3 + 1)):$((BASE_PORT + 1))/v1/configuration")
  if [ "$CODE" = 200 ]; then ACKNOWLEDGED=$VERSION; fi
}

# changes MS NAME: sends changes for MS, one every 50 ms, and prints how many were acknowledged
changes() {
  local until=$(($(date +%s%3N) + $1)) sent=0 good=0 silent=0
  while [ "$(date +%s%3N)" -lt $until ]; do
    change
    sent=$((sent + 1))
    [ "$CODE" = 200 ] && good=$((good + 1))
    [ "$CODE" = 000 ] && silent=$((silent + 1))
    sleep 0.05
  done
  echo "$2: $good of $sent acknowledged, $silent not answered" >&2
  [ $silent = 0 ] || fault "$2: $silent changes not answered in $ANSWER_S s"
}

# leads_elsewhere NUMBER: another control VM than this one leads
leads_elsewhere() {
  local leader
  # shellcheck disable=SC2046
  leader=$(platform_leader $(seq 3 | grep -v "$1"))
  [ -n "$leader" ]
}

platform_up 3 1
for i in 1 2 3; do control $i; done
platform_wait platform_leader 1 2 3 > /dev/null || site_fail "no leader after the restarts"
ACKNOWLEDGED=1
all_take() { change; [ "$CODE" = 200 ]; }
platform_wait all_take || site_fail "no change is acknowledged before the disks are full"

for refuses in $WRITES $SYNCS $ALL; do
  # The leader's disk goes first: it must not go on leading without a disk.
  leader=$(platform_leader 1 2 3)
  for i in ${leader:-1} $(seq 3 | grep -v "${leader:-1}") 1; do
    disk "$i" $refuses
    changes 1500 "refuses $refuses at $i"
    platform_wait_ms 500 leads_elsewhere "$i" || fault "refuses $refuses: control VM $i leads, or none does"
    disk "$i" 0
    sleep 1
  done
done
sleep 2
good=0
for i in 1 2 3 4 5 6; do
  change
  [ "$CODE" = 200 ] && good=$((good + 1)) || echo "afterwards: $CODE $(cat "$SITE/put.out")" >&2
  sleep 0.05
done
echo "afterwards: $good of 6 acknowledged" >&2
[ $good = 6 ] || fault "afterwards $good of 6 changes were acknowledged"
read_back() { [ "$(platform_read "$1" | grep -o '"Version": *[0-9]*' | head -1 | grep -o '[0-9]*')" -ge "$ACKNOWLEDGED" ]; }
for i in 1 2 3; do platform_wait_ms 1000 read_back $i || fault "control VM $i has $(platform_read $i | cut -c 1-40)"; done

# All are killed and read their disks.
for i in 1 2 3; do control $i; done
for i in 1 2 3; do
  platform_wait_ms 10000 read_back $i || fault "after a restart control VM $i has $(platform_read $i | cut -c 1-40)"
done
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "full disks: all control VMs take changes again, nothing acknowledged is lost"
