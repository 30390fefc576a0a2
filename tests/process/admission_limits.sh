# Checks that requests over the limit of an organisation are refused with the
# outcome "not run" and a Retry-After, and that the limit applies to both VMs of a
# failure domain together: with a limit of 4, at most 6 may run at once.
# Usage: admission_limits.sh BUILD
set -u
BUILD=$1
BASE_PORT=26000
. "$(dirname "$0")/../support/site.sh"
site_init
site_up --token-ms 100 || site_fail "site does not come up"
sed 's/"selector": "org=alcornocales"/&, "in_flight": 4/' \
  "$SITE/declarations.json" > "$SITE/limited.json"
site_apply "$SITE/limited.json" || site_fail "limits are not accepted"
sleep 0.3

# 12 concurrent requests through both VMs of castillos.
body='{"model":"contract-lm","max_tokens":20,
  "messages":[{"role":"user","content":"draft"}]}'
for i in $(seq 12); do
  site_complete $((i % 2)) "${body/draft/draft $i}" -i > "$SITE/reply-$i" &
  calls[i]=$!
done
wait "${calls[@]}"
ran=$(grep -l '^HTTP/1.1 200' "$SITE"/reply-* | wc -l)
refused=$(grep -l '^HTTP/1.1 429' "$SITE"/reply-* | wc -l)
[ $((ran + refused)) = 12 ] || site_fail "$ran answers of 200 and $refused of 429, not 12 together"
[ "$ran" -ge 1 ] || site_fail "nothing ran"
for reply in $(grep -l '^HTTP/1.1 429' "$SITE"/reply-*); do
  grep -q '^Retry-After: [0-9]' "$reply" || site_fail "no Retry-After in the refusal: $(cat "$reply")"
  grep -q '"code":"limited".*"outcome":"not_run"' "$reply" ||
    site_fail "the refusal is not limited with not_run: $(cat "$reply")"
done

# Compares with what the engines recorded, not with the system's own counts.
sent=$(cat "$SITE"/e?.out | grep -c '"event":"run"')
[ "$sent" = "$ran" ] || site_fail "$sent reached an engine, $ran were answered"
peak=$(cat "$SITE"/e?.out | awk '/"event":"run"/ { n++ }
  /"event":"finished"/ { n-- } n > peak { peak = n } END { print peak + 0 }')
[ "$peak" -le 6 ] || site_fail "$peak ran at once"
[ "$refused" -ge 6 ] || site_fail "only $refused were refused"
echo "admission limits: ok"
