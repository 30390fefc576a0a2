#!/bin/bash
# Replaces the VMs of a site one after another by another build, forwards and back, while callers
# and operators go on.  Usage: rolling.sh BUILD OLD_BRIARRACK SEED [CONTROLS]
# Checks that nothing runs twice or is said not to have run though it did, that streams are whole,
# that acknowledged changes are read back from each control VM, and that there is always a leader.
set -u
NEW_BUILD=$1
OLD=$2
SEED=$3
RANDOM=$SEED
CONTROLS=${4:-3}
ENTRIES=4
BASE_PORT=$((20000 + SEED % 40 * 20))
BUILD=$(mktemp -d)
for program in "$NEW_BUILD"/*; do ln -s "$program" "$BUILD/$(basename "$program")"; done
rm "$BUILD/briarrack"
cat > "$BUILD/briarrack" << WRAPPER
#!/bin/bash
# Runs the build that BUILD/NAME.build names for the VM.
exec "\$(cat "$BUILD/\$(basename "\$2" .json).build" 2> /dev/null || echo "$OLD")" "\$@"
WRAPPER
chmod +x "$BUILD/briarrack"
. "$(dirname "$0")/../support/platform_site.sh"
. "$(dirname "$0")/../support/platform_cut.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

runs() { cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1\""; }
status() { tail -n 1 "$SITE/$1.answer"; }

# send ID PATH: sends a request to an entry VM; its answer, curl's status and the time go to files
send() {
  local entry=$((RANDOM % ENTRIES + 1))
  platform_request $entry "$1" "$2" -X POST -d "$1" > "$SITE/$1.answer" 2>&1
  echo "$? $entry" > "$SITE/$1.exit"
}

# Until the file "stop" exists: callers of each kind, and an operator that raises the version.
callers() {
  local n=0
  RANDOM=$((RANDOM + $1))
  while [ ! -e "$SITE/stop" ]; do
    n=$((n + 1))
    case $((n % 4)) in
      0) send "draft-$1-$n" /draft/stream ;;
      1) send "pay-$1-$n" /pay/error ;;
      2) send "look-$1-$n" /look/good ;;
      3) send "pay-$1-$n" /pay/good ;;
    esac
    sleep 0.05
  done
}
operator() {
  local version=1
  while [ ! -e "$SITE/stop" ]; do
    version=$((version + 1))
    sed "s/\"Version\": 1,/\"Version\": $version,/" "$SITE/1.json" > "$SITE/next.json"
    [ "$(platform_put $((version % CONTROLS + 1)) "$SITE/next.json")" = 200 ] && echo $version > "$SITE/acknowledged"
    sleep 0.1
  done
}

# stop_vm NAME: stops the VM as planned, or kills it
stop_vm() {
  local pid
  pid=$(site_pid "$1")
  if [ $((RANDOM % 3)) != 0 ]; then
    kill -TERM "$pid"
    platform_wait_ms 12000 gone "$pid" || fault "$1 has not stopped"
  fi
  site_kill "$1" 2> /dev/null
}
gone() { ! kill -0 "$1" 2> /dev/null; }

leads() { [ -n "$(platform_leader $(seq $CONTROLS))" ]; }
# The file is written anew for each change.
acknowledged() { until grep '[0-9]' "$SITE/acknowledged"; do :; done; }
holds_acknowledged() {
  local version
  version=$(platform_read "$1" | grep -o '"Version": *[0-9]*' | head -1 | grep -o '[0-9]*$')
  [ -n "$version" ] && [ "$version" -ge "$(acknowledged)" ]
}

# replace NAME BRIARRACK: the VM goes on with another build
replace() {
  local name=$1 number=${1#*-}
  cat "$SITE/$name.out" >> "$SITE/$name.all"
  echo "$2" > "$BUILD/$name.build"
  stop_vm "$name"
  case $name in
    control-*)
      site_start "$name" "$BUILD/briarrack" serve "$SITE/$name.json"
      platform_wait leads || fault "no leader after $name"
      platform_wait holds_acknowledged "$number" || fault "$name lacks what was acknowledged"
      ;;
    entry-*)
      restart "$number"
      platform_wait platform_entry_ready "$number" || fault "$name is not ready"
      [ "$number" != 1 ] || cut 1 refuse 4 7
      ;;
  esac
  sleep 0.$((RANDOM % 9 + 1))
}


cut_up "$CONTROLS" $ENTRIES
trap 'site_stop; rm -rf "$BUILD"' EXIT
echo 1 > "$SITE/acknowledged"
cut 1 refuse 4 7 # its requests go through the others
pids=
for i in 1 2 3; do
  callers $i &
  pids="$pids $!"
done
operator &
pids="$pids $!"
names=$(for i in $(seq "$CONTROLS"); do echo "control-$i"; done; for i in $(seq $ENTRIES); do echo "entry-$i"; done)
for build in "$NEW_BUILD/briarrack" "$OLD"; do
  for name in $(for n in $names; do echo "$RANDOM $n"; done | sort -n | sed 's/^[0-9]* //'); do
    replace "$name" "$build"
  done
done
sleep 1
touch "$SITE/stop"
# shellcheck disable=SC2086
wait $pids
sleep 1
for i in $(seq "$CONTROLS"); do platform_wait holds_acknowledged "$i" || fault "control-$i lacks what was acknowledged"; done

sent=0 whole=0 relayed=0
for file in "$SITE"/*.exit; do
  id=$(basename "$file" .exit)
  sent=$((sent + 1))
  ran=$(runs "$id")
  read -r code entry < "$file"
  case $id in
    pay-*)
      [ "$ran" -le 1 ] || fault "$id ran $ran times, status $(status "$id")"
      case "$(status "$id")" in
        408 | 421 | 429 | 503) [ "$ran" = 0 ] || fault "$id ran and was answered $(status "$id")" ;;
        200 | 500) [ "$ran" = 1 ] || fault "$id ran $ran times, status $(status "$id")" ;;
      esac
      ;;
    draft-*)
      [ "$code" = 0 ] && [ "$(status "$id")" = 200 ] || continue
      [ "$(grep -c '^id' "$SITE/$id.answer")" = 6 ] || fault "$id looks complete: $(cat "$SITE/$id.answer")"
      ;;
  esac
  [ "$code" = 0 ] && [ "$(status "$id")" -lt 502 ] && whole=$((whole + 1))
  [ "$entry" = 1 ] && [ "$code" = 0 ] && relayed=$((relayed + 1))
done
echo "$sent requests, $whole answered, $relayed through entry VM 1, $(cat "$SITE/acknowledged") the newest change" >&2
[ $((whole * 10)) -ge $((sent * 8)) ] || fault "only $whole of $sent requests were answered"
grep -h '"step":"read\|bad message' "$SITE"/*.all "$SITE"/control-*.out "$SITE"/entry-*.out | head -3 >&2
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "builds side by side: ok"
