# Guards against lost streams when all VMs of a failure domain are reclaimed at
# once.  They get SIGTERM with a grace of two seconds while they stream, and their
# engine is killed too.  The answers must be readable through the remaining VM, but
# only for the organisation that owns them.  Usage: contract_wave.sh BUILD
set -u
BUILD=$1
BASE_PORT=24600
SITE_GRACE_MS=2000
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/contract.sh"
site_init
site_up --token-ms 20 > /dev/null || site_fail "site does not come up"
contract_wait_links

# Declares another organisation with its own key.
other_key=landfill-key-0002
digest=$(printf %s "$other_key" | sha256sum | cut -d ' ' -f 1)
{
  site_declarations | sed '$d'
  cat << JSON
 ,{"kind": "organisation", "name": "kovacik", "selector": "org=kovacik"},
 {"kind": "workload", "name": "returns", "key_digest": "sha256:$digest",
  "labels": {"org": "kovacik"}}]
JSON
} > "$SITE/other.json"
site_apply "$SITE/other.json" > /dev/null

for prompt in p0 p1 p2 p3; do
  site_complete 2 "$(contract_body "$prompt" 200)" > "$SITE/whole-$prompt" &
done
readers=()
for i in 0 1 2 3; do
  contract_stream $((i % 2)) "p$i" 200 "wave$i"
  readers+=("$CONTRACT_READER")
done
for i in 0 1 2 3; do contract_wait_tokens "wave$i" 5; done
kill -TERM "$(site_pid castillos-1)" "$(site_pid castillos-2)"
sleep 1
kill -9 "$(site_pid e1)"
sleep 1.2
kill -9 "$(site_pid castillos-1)" "$(site_pid castillos-2)" 2> /dev/null

id=$(contract_id wave0)
status=$(curl -sS -o /dev/null -w '%{http_code}' \
  -H "Authorization: Bearer $other_key" \
  "http://127.0.0.1:$((BASE_PORT + 2))/v1/contracts/$id")
[ "$status" = 403 ] || site_fail "another organisation got status $status, not 403"
for i in 0 1 2 3; do
  CONTRACT_READER=${readers[i]}
  for try in $(seq 200); do
    grep -q '^data: \[DONE\]$' "$SITE/whole-p$i" && break
    sleep 0.05
  done
  contract_check_rest "wave$i" 2 "whole-p$i"
done
contract_check_engines
echo "wave: ok"
