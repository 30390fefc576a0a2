# Checks that work which waits for a slot is not accepted yet.  When it is refused
# after waiting, the caller must get an error status with a Retry-After, and not
# the head of an answer that then fails.  Usage: admission_queue.sh BUILD
set -u
BUILD=$1
BASE_PORT=26700
. "$(dirname "$0")/../support/site.sh"
site_init
site_up --slots 1 --token-ms 100 > /dev/null || site_fail "site does not come up"
sleep 1.5

body() {
  echo "{\"model\":\"contract-lm\",\"stream\":true,\"max_tokens\":$2,
    \"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"
}

for i in 1 2 3 4 5 6; do
  site_complete 0 "$(body "long $i" 60)" > "$SITE/long-$i" &
done
sleep 1
refused=0
for i in 1 2 3 4; do
  status=$(site_complete 0 "$(body "late $i" 5)" -D "$SITE/head" \
    -o "$SITE/late" -w '%{http_code}')
  case $status in
  200)
    grep -q '^data: \[DONE\]$' "$SITE/late" ||
      site_fail "accepted and then not answered: $(cat "$SITE/late")"
    ;;
  429 | 503)
    refused=$((refused + 1))
    grep -qi '^Retry-After: ' "$SITE/head" || site_fail "no Retry-After in the refusal"
    grep -q '"outcome":"not_run"' "$SITE/late" || site_fail "the outcome of a refusal is not not_run: $(cat "$SITE/late")"
    ;;
  *) site_fail "status $status" ;;
  esac
done
[ "$refused" -gt 0 ] || site_fail "nothing was refused"
for i in 1 2 3 4 5 6; do
  grep -q 'event: error' "$SITE/long-$i" &&
    site_fail "accepted and then refused: $(cat "$SITE/long-$i")"
done
echo "admission queue: ok, $refused refused"
