# Guards against a caller that gets a late answer to another request, which
# cannot be told by its place: an engine writes the answer to the request before
# once more when a request has arrived.  It names the contract in its answers,
# so every caller must get its own answer.
# Usage: upstream_answer_of_another.sh BUILD
set -u
BUILD=$1
BASE_PORT=31740
. "$(dirname "$0")/../support/site.sh"
. "$(dirname "$0")/../support/raw.sh"

failed=
site_init
raw_site_up
{ raw_event 'own-%P '; raw_done; } |
  raw_answer 200 'Content-Type: text/event-stream' 'X-Contract-Id: %C' > "$SITE/late"
raw_start $((BASE_PORT + 30)) late --keep --again late
sleep 1.2 # the VMs have to detect that the engine is up
for i in 1 2 3 4 5 6; do
  site_complete 0 "$(raw_body "p$i")" > "$SITE/answer-$i" 2>&1
  [ "$(raw_text "$SITE/answer-$i")" = "own-p$i " ] ||
    failed="$failed prompt p$i got '$(raw_text "$SITE/answer-$i")'."
  grep -q '^data: \[DONE\]$' "$SITE/answer-$i" || failed="$failed p$i has no end."
done
grep -q '"text":"the answer to another request"' "$SITE/castillos-1.log" ||
  failed="$failed not logged."
[ -z "$failed" ] || site_fail "$failed"
echo "upstream answer of another: ok"
