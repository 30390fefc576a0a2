# Invalid input from a peer is logged as an error with step and peer, and counted.
# The process keeps serving after it, and after invalid input from callers.
# Usage: bad_input.sh BUILD
set -u
BUILD=$1
BASE_PORT=21400
. "$(dirname "$0")/../support/site.sh"
site_init
site_up > /dev/null || site_fail "site does not come up"

log=$SITE/castillos-1.log
peer_port=$((BASE_PORT + 20))

# wait_log WORD...: waits until a line of castillos-1's log contains all words.
wait_log() {
  local i word lines
  for i in $(seq 100); do
    lines=$(cat "$log")
    for word in "$@"; do lines=$(grep -F -- "$word" <<< "$lines"); done
    [ -n "$lines" ] && return 0
    sleep 0.05
  done
  site_fail "castillos-1 does not log: $*"
}

# counter NAME: prints a counter of castillos-1.
counter() {
  curl -s "http://127.0.0.1:$((BASE_PORT + 10))/metrics" |
    sed -n "s/^briarrack_$1 //p"
}

# A frame over the limit, a frame that is not protobuf, a hello with another
# version (field 1 of the hello is 9), and a message before the proof.
printf '\xff\xff\xff\xff' > "/dev/tcp/127.0.0.1/$peer_port"
wait_log '"step":"read frame"' 'is over the limit'
printf '\x00\x00\x00\x02\xff\xff' > "/dev/tcp/127.0.0.1/$peer_port"
wait_log '"step":"read frame"' 'does not parse'
printf '\x00\x00\x00\x26\x0a\x24\x08\x09\x12\x09lascano-1\x18\x01\x22\x01x\x2a\x10aaaaaaaaaaaaaaaa' \
  > "/dev/tcp/127.0.0.1/$peer_port"
wait_log '"step":"greet"' '"peer":"lascano-1"' 'uses protocol version 9'
printf '\x00\x00\x00\x04\x1a\x02\x08\x03' > "/dev/tcp/127.0.0.1/$peer_port"
wait_log '"step":"greet"' 'message before the proof'

# A VM with the name of a peer but another shared key.
kill -9 "$(site_pid lascano-1)"
site_settings 2 | sed 's/0123456789abcdef/0123456789abcdeX/' > "$SITE/wrong.json"
site_start wrong "$BUILD/briarrack" serve "$SITE/wrong.json"
wait_log '"step":"greet"' '"peer":"lascano-1"' 'wrong shared key'
[ "$(counter peer_errors_total)" -ge 5 ] || site_fail "peer errors not counted"

# A caller that does not speak HTTP, and one that disconnects during its request.
printf 'nonsense\r\n\r\n' > "/dev/tcp/127.0.0.1/$BASE_PORT"
printf 'POST /v1/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n{' \
  > "/dev/tcp/127.0.0.1/$BASE_PORT"

answer=$(site_complete 0 '{"model":"contract-lm","max_tokens":3,
  "messages":[{"role":"user","content":"still here"}]}')
grep -q 't2-' <<< "$answer" || site_fail "does not serve: $answer"
echo "bad input: ok"
