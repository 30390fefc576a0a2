# A restarted entry VM is not ready, and answers 503 with a retry-after time, until
# it has the declarations in force.  A caller of an existing service must never get
# 404 in that time.  Usage: restart_not_ready.sh BUILD [RESTARTS]
set -u
BUILD=$1
BASE_PORT=23900
. "$(dirname "$0")/../support/site.sh"

site_init
site_up || site_fail "site does not come up"
url=http://127.0.0.1:$((BASE_PORT + 2))
for round in $(seq "${2:-4}"); do
  site_kill lascano-1
  site_start_vm 2
  wrong=
  for i in $(seq 400); do
    ready=$(curl -s -m 1 -o /dev/null -w '%{http_code}' "$url/readyz")
    status=$(curl -s -m 2 -o "$SITE/answer" -w '%{http_code}' -H "Authorization: Bearer $SITE_KEY" \
      "$url/services/ledger/status")
    case $status in
      404) wrong="$wrong 404" ;;
      503) grep -q retry_after_ms "$SITE/answer" || wrong="$wrong no-retry-after" ;;
    esac
    [ "$ready" = 200 ] && [ "$status" = 200 ] && break
    sleep 0.01
  done
  [ "$status" = 200 ] || site_fail "round $round: the VM does not become ready: $status"
  sleep 0.1; [ -z "$wrong" ] || site_fail "round $round: wrong answers:$wrong"
  echo "round $round: no wrong answer"
done
