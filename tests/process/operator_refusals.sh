# Invalid declarations are refused with file, line, declaration and field, and
# clashing ones with both declarations of the clash.  No part of a refused change
# is put in force.  Usage: operator_refusals.sh BUILD
set -u
BUILD=$1
BASE_PORT=23600
. "$(dirname "$0")/../support/site.sh"

# refused CODE TEXT...: applies standard input.  The command must exit with CODE
# and print each TEXT.
refused() {
  local code=$1 output
  shift
  cat > "$SITE/bad.json"
  output=$("$BUILD/briarrack" apply --server "127.0.0.1:$((BASE_PORT + 11))" \
    "$SITE/bad.json" 2>&1)
  [ $? = "$code" ] || site_fail "exit code is not $code: $output"
  for text in "$@"; do
    grep -qF -- "$text" <<< "$output" || site_fail "no \"$text\" in: $output"
  done
}

site_init
site_up || site_fail "site does not come up"
refused 4 bad.json "service/x: selector: matches none of the upstreams" << 'JSON'
[{"kind": "service", "name": "x", "selector": "app=none"}] // comment
JSON
refused 4 "line 2: selector: is given twice" << 'JSON'
[{"kind": "service", "name": "x", "selector": "a=b",
  "selector": "app=ledger"}]
JSON
refused 4 "line 2: service/x: colour: unknown key" << 'JSON'
[
 {"kind": "service", "name": "x", "selector": "app=ledger", "colour": 1}]
JSON
refused 4 "line 1: service/x: selector: character 8" << 'JSON'
[{"kind": "service", "name": "x", "selector": "app in ledger"}]
JSON
refused 7 organisation/alcornocales organisation/all "over contract-drafts" << 'JSON'
[{"kind": "organisation", "name": "all", "selector": "exists org"}]
JSON
refused 7 "line 2: service/x: is declared twice" << 'JSON'
[{"kind": "service", "name": "x", "selector": "app=ledger"},
 {"kind": "service", "name": "x", "selector": "app=ledger"}]
JSON
[ "$(site_revision 1)" = 1 ] || site_fail "the revision after the refusals is $(site_revision 1), not 1"

# A dry run prints what would match and changes nothing.
echo '[{"kind": "labels", "name": "upstream/e1", "labels": {"tier": "a"}},
  {"kind": "service", "name": "y", "selector": "tier=a"}]' > "$SITE/y.json"
output=$("$BUILD/briarrack" apply --dry-run \
  --server "127.0.0.1:$((BASE_PORT + 11))" "$SITE/y.json")
grep -q '^service/y: selector: upstreams before: none; after: e1$' <<< "$output" ||
  site_fail "dry run: $output"
[ "$(site_revision 1)" = 1 ] || site_fail "the dry run changed something"

# Selectors over declarations, and a VM that lags.
list=$("$BUILD/briarrack" get --server "127.0.0.1:$((BASE_PORT + 12))" \
  --selector 'org in (alcornocales, other)')
[ "$(grep -c '^workload/contract-drafts' <<< "$list")" = 1 ] ||
  site_fail "the selector does not match one workload: $list"
kill -STOP "$(site_pid lascano-1)"
"$BUILD/briarrack" apply --server "127.0.0.1:$((BASE_PORT + 10))" \
  "$SITE/y.json" > /dev/null || site_fail "a majority did not accept the change"
"$BUILD/briarrack" status --server "127.0.0.1:$((BASE_PORT + 10))" |
  grep -q '^  lascano-1  *revision 1, lags' || site_fail "the status does not show that lascano-1 lags"
kill -CONT "$(site_pid lascano-1)"
site_wait_revision 2 || site_fail "lascano-1 did not catch up"
echo "operator refusals: ok"
