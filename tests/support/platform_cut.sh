# Shell functions that cut entry VMs off from upstreams.  Source platform_site.sh first;
# HANG_PORT is a port that accepts no connection.

HANG_PORT=$((BASE_PORT + 12))

# cut ENTRY MODE FIRST LAST: new connections of the entry VM to the upstreams at the ports
# BASE+FIRST to BASE+LAST hang or are refused
cut() { echo "$2 $((BASE_PORT + $3)) $((BASE_PORT + $4)) $HANG_PORT" > "$SITE/cut-$1"; }

# heal ENTRY: its new connections succeed again
heal() { echo "open 0 0 0" > "$SITE/cut-$1"; }

# restart ENTRY: starts the entry VM again, with a library that obeys cut()
restart() {
  heal "$1"
  site_kill "entry-$1" 2> /dev/null
  site_start "entry-$1" env LD_PRELOAD="$BUILD/libsoak_shim.so" SHIM_CUT="$SITE/cut-$1" \
    ASAN_OPTIONS=verify_asan_link_order=0 "$BUILD/briarrack" serve "$SITE/entry-$1.json"
}

# cut_up CONTROLS ENTRIES: like platform_up, with entry VMs that obey cut()
cut_up() {
  local i
  platform_up "$@"
  site_start blackhole "$BUILD/fake_blackhole" "$HANG_PORT"
  for i in $(seq "$2"); do restart "$i"; done
  for i in $(seq "$2"); do
    platform_wait platform_entry_ready "$i" || site_fail "entry VM $i is not ready again"
  done
}
