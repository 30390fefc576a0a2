# Guards against a plain service's answer that is not complete and looks so: one
# without length or chunks, whose connection ends, and an interim answer.
# Usage: upstream_plain_cut.sh BUILD
set -u
BUILD=$1
BASE_PORT=31680
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"

LEDGER=$((BASE_PORT + 40))
JSON='Content-Type: application/json'
failed=

# Calls the service, which answers with file $1; the status must be $2.
check() {
  local status
  raw_start "$LEDGER" "$1"
  sleep 0.7 # the VM has to detect that the service is up again
  status=$(site_call 0 "$1" '{"n":1}' --max-time 10 -o "$SITE/answer-$1" -w '%{http_code}')
  echo "$1: $status $(cat "$SITE/answer-$1")" >&2
  [ "$status" = "$2" ] || failed="$failed $1: status $status, not $2."
  [ "$(grep -c '"run"' "$SITE/raw-$1.out")" = 1 ] ||
    failed="$failed $1: $(grep -c '"run"' "$SITE/raw-$1.out") runs, not 1."
  site_kill "raw-$1" 2> /dev/null
}

site_init
raw_site_up
whole='{"booked":true,"amount":1200}'
printf '%s' "$whole" | raw_answer 200 "$JSON" > "$SITE/whole"
printf 'HTTP/1.1 204 Done\r\n\r\n' > "$SITE/no-content"
{ raw_open_head 200 "$JSON"; printf '%s' "${whole:0:20}"; } > "$SITE/cut"
printf '%s' "$whole" | raw_answer 200 "$JSON" | head -c -9 > "$SITE/cut-length"
{ printf 'HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n' "$JSON"
  printf '%x\r\n%s\r\n' ${#whole} "$whole"; } > "$SITE/cut-chunks"
{ printf 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'; cat "$SITE/whole"; } > "$SITE/interim"
check whole 200
check no-content 204
for each in cut cut-length cut-chunks interim; do check "$each" 502; done
[ -z "$failed" ] || site_fail "$failed"
echo "upstream plain cut: ok"
