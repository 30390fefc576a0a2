# Checks the configuration of a platform's site with three control VMs.  One, then
# two, then all of them are killed, and one loses its disk.  Acknowledged versions
# must be kept, invalid bodies must change nothing, and a control VM without a
# majority must answer 503.
# Usage: platform_configuration.sh BUILD
set -u
BUILD=$1
BASE_PORT=26300
. "$(dirname "$0")/../support/platform_site.sh"

version() { platform_read "$1" | grep -o '"Version": [0-9]*' | head -n 1 | grep -o '[0-9]*'; }
version_is() { [ "$(version "$1")" = "$2" ]; }
put_is() { [ "$(platform_put "$1" "$2")" = "$3" ]; }
entry_serves() { [ "$(platform_request 1 "v$RANDOM" "$1" | tail -n 1)" = "$2" ]; }

platform_up 3 1
platform_configuration 5 ', {"Name": "new", "Host": "h.example", "PathPrefix": "/new/",
  "Kind": "idempotent", "TimeoutMs": 1000, "Service": "ledger"}' > "$SITE/5.json"
entry_serves /new/good 404 || site_fail "/new/ exists before version 5 is put"
platform_wait put_is 2 "$SITE/5.json" 200 || site_fail "version 5 is not accepted"
platform_wait entry_serves /new/good 200 || site_fail "version 5 is not in force"
put_is 3 "$SITE/1.json" 200 || site_fail "a put of an older version gets an error"
version_is 1 5 || site_fail "an older version took effect"
echo "highest version: in force"

for body in '{"Version": 9' '{"Version": 9, "Routes": [], "Services": 3}' \
  '{"Version": 9, "Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/a/", "Kind": "idempotent", "TimeoutMs": 0, "Service": "s"}], "Services": [{"Name": "s"}]}' \
  '{"Version": 9, "Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/a/", "Kind": "idempotent", "TimeoutMs": 9, "Service": "t"}], "Services": [{"Name": "s"}]}' \
  '{"Version": 9, "Routes": [], "Services": [], "Tenants": [{"Name": "a", "ApiKeys": ["k"]}, {"Name": "b", "ApiKeys": ["k"]}]}'; do
  echo "$body" > "$SITE/bad.json"
  put_is 1 "$SITE/bad.json" 400 || site_fail "an invalid body is accepted: $body"
  grep -q '"message":"' "$SITE/put.out" || site_fail "the error has no message: $(cat "$SITE/put.out")"
done
version_is 2 5 || site_fail "an invalid configuration took effect"
echo "invalid bodies: refused"

site_kill control-1
platform_configuration 7 > "$SITE/7.json"
platform_wait put_is 2 "$SITE/7.json" 200 || site_fail "two of three control VMs do not accept version 7"
site_kill control-2
status=$(platform_put 3 "$SITE/1.json")
[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
  "http://127.0.11.3:$((BASE_PORT + 1))/v1/configuration")" = 503 ] ||
  site_fail "one of three control VMs answers a read"
platform_configuration 8 > "$SITE/8.json"
[ "$(platform_put 3 "$SITE/8.json")" = 503 ] || site_fail "one of three control VMs accepts version 8"
entry_serves /look/good 200 || site_fail "the entry VM stopped serving"
echo "no majority: nothing accepted, callers served"

# All control VMs are killed; one restarts with an empty disk.
site_kill control-3
rm -rf "$SITE/disk-1"
platform_vm control 1 3 false
platform_vm control 2 3 false
platform_vm control 3 3 false
platform_wait version_is 3 7 || platform_wait version_is 3 8 ||
  site_fail "acknowledged version 7 is lost: $(version 3)"
platform_configuration 11 > "$SITE/11.json"
platform_wait put_is 1 "$SITE/11.json" 200 || site_fail "control VM 1 does not accept version 11 after losing its disk"
platform_wait version_is 1 11 || site_fail "version 11 cannot be read"
echo "all killed, one disk lost: configuration kept"

site_kill entry-1
platform_vm entry 1 3 false
first=$(platform_request 1 early /look/good | tail -n 1)
case $first in
  000 | 200 | 503) ;;
  *) site_fail "an entry VM without a configuration answers $first" ;;
esac
platform_wait platform_entry_ready 1 || site_fail "the entry VM is not ready after its restart"
echo "entry VM restarted: not ready before it has the configuration"
