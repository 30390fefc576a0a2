# Checks that the list of upstreams is followed, and requests are answered, while it
# holds an odd entry of another writer; and that a list that cannot be read leaves the
# upstreams in use, with a bounded number of log lines.  Answers to duties with such bytes,
# and a nested configuration, do no harm.
# Usage: platform_odd_list_entry.sh BUILD
set -u
BUILD=$1
BASE_PORT=31000
. "$(dirname "$0")/../support/platform_site.sh"

platform_up 3 2
born=1000

nested() { head -c "$1" /dev/zero | tr '\0' '['; head -c "$1" /dev/zero | tr '\0' ']'; }
put_entry() { curl -s -m 5 -X PUT --data-binary @- "http://127.0.0.1:$((BASE_PORT + 3))/entry"; }
lines() { cat "$SITE"/control-*.out | grep -c "$1"; }
# Prints the sum over the control VMs: another one may lead meanwhile.
metric() {
  local i
  for i in 1 2 3; do
    curl -s -m 2 "http://127.0.11.$i:$((BASE_PORT + 8))/metrics"
  done | awk -v name="briarrack_$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}
answered() {
  [ "$(curl -s -m 3 -o "$SITE/answer.out" -w '%{http_code}' -H 'Host: h.example' \
    -H "Authorization: Bearer $PLATFORM_KEY" -H "X-Request-Id: look-$1" \
    "http://127.0.12.1:$BASE_PORT/look/1")" = 200 ]
}
# Changes an upstream's start, and waits until the new list is in force.
follows() {
  local before
  before=$(lines '"upstreams listed"')
  born=$((born + 1))
  curl -s -m 5 -X PUT "http://127.0.0.1:$((BASE_PORT + 3))/born/p2/$born"
  is_listed() { [ "$(lines '"upstreams listed"')" -gt "$before" ]; }
  platform_wait_ms 4000 is_listed
}
all_run() {
  local i
  for i in 1 2 3; do kill -0 "$(site_pid "control-$i")" || return 1; done
  kill -0 "$(site_pid entry-1)" && kill -0 "$(site_pid entry-2)"
}
check() {
  put_entry
  follows || site_fail "$1: the list is not followed: $(lines list_unreadable) unreadable"
  answered "$1" || site_fail "$1: a request is not answered: $(cat "$SITE/answer.out")"
  all_run || site_fail "$1: a process has ended"
}

follows || site_fail "the list is not followed"
check nested < <(nested 14 | sed 's/^/{"Id":"deep","x":/; s/$/}/')
check nested-far < <(nested 200000)
check number << 'ENTRY'
{"Id":"n","Service":"ledger","Address":"127.0.0.1:9","State":"ready","Slots":1e400}
ENTRY
check port << 'ENTRY'
{"Id":"n","Service":"ledger","Address":"127.0.0.1:70000","State":"ready"}
ENTRY
check address << 'ENTRY'
{"Id":"n","Service":"ledger","Address":"nowhere.example:80","State":"ready"}
ENTRY
check bytes < <(printf \
  '{"Id":"\377\376","Service":"ledger","Address":"127.0.0.1:9","State":"ready"}')
check repeated << 'ENTRY'
{"Id":"p1","Service":"ledger","Address":"127.0.0.1:9","State":"ready"}
ENTRY
check no-json < <(printf '\377\376')
# Duties are answered with these bytes, too.
duties() { grep -c '"duty":"usage"' "$SITE/cloud.out"; }
reported=$(duties)
goes_on() { [ "$(duties)" -ge $((reported + 2)) ]; }
platform_wait goes_on || site_fail "no more usage is reported: $(duties) times"
all_run || site_fail "duties: a process has ended"

nested 200000 > "$SITE/nested.json"
[ "$(platform_put 1 "$SITE/nested.json")" = 400 ] ||
  site_fail "a nested configuration is not refused: $(cat "$SITE/put.out")"
all_run || site_fail "configuration: a process has ended"

check unclosed < <(printf '{"Id":"x')
[ "$(lines list_unreadable)" = 0 ] || site_fail "$(lines list_unreadable) lists were unreadable"
[ "$(metric list_entries_skipped_total)" -gt 8 ] ||
  site_fail "$(metric list_entries_skipped_total) entries were counted"

# One line a minute on each VM that reads it.  More entries without an end than a page is searched for the next ones.
yes '{"Id":"x",' | head -n 100000 | tr -d '\n' | put_entry
unreadable() { [ "$(metric lists_unreadable_total)" -ge 6 ]; }
platform_wait unreadable || site_fail "$(metric lists_unreadable_total) lists were unreadable"
answered unreadable || site_fail "no answer beside a list that cannot be read"
[ "$(lines list_unreadable)" -le 3 ] || site_fail "$(lines list_unreadable) lines"
printf '' | put_entry
follows || site_fail "the list is not followed after it could not be read"
echo "the list is followed beside odd entries"
