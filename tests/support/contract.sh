# Shell functions for tests of accepted work: streams that are disconnected, read
# again through another VM and compared with an uninterrupted one.  Source after
# site.sh.

# Prints the body of a request with prompt $1 and $2 tokens.
contract_body() {
  echo "{\"model\":\"contract-lm\",\"stream\":true,\"max_tokens\":$2,
    \"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}"
}

# Prints the tokens of the stream in file $1.
contract_tokens() {
  grep -o 't[0-9]*-[0-9a-f]* ' "$1"
}

# Streams prompt $2 of $3 tokens through VM number $1 into $SITE/$4 in the
# background; its head goes to $SITE/$4.head.
contract_stream() {
  site_complete "$1" "$(contract_body "$2" "$3")" -D "$SITE/$4.head" \
    > "$SITE/$4" 2> "$SITE/$4.err" &
  CONTRACT_READER=$!
}

contract_id() {
  sed -n 's/\r$//; s/^X-Contract-Id: //p' "$SITE/$1.head" 2> /dev/null
}

contract_backup() {
  sed -n 's/\r$//; s/^X-Contract-Partner: //p' "$SITE/$1.head"
}

# Waits until stream $1 has $2 tokens.
contract_wait_tokens() {
  local i
  for i in $(seq 400); do
    [ "$(contract_tokens "$SITE/$1" | wc -l)" -ge "$2" ] && return 0
    sleep 0.01
  done
  site_fail "stream $1 has $(contract_tokens "$SITE/$1" | wc -l) tokens, not $2"
}

# Waits until all links between the VMs are up.
contract_wait_links() {
  local i n
  for i in $(seq 200); do
    n=0
    for vm in 0 1 2; do
      n=$((n + $("$BUILD/briarrack" status --json \
        --server "127.0.0.1:$((BASE_PORT + 10 + vm))" |
        grep -o '"up":true' | wc -l)))
    done
    [ "$n" = 6 ] && return 0
    sleep 0.05
  done
  site_fail "only $n links are up"
}

# Reads contract $2 through VM number $1 after event $3 into file $4.  Retries
# while the answer is 503.
contract_read() {
  local i code
  for i in $(seq 20); do
    code=$(curl -sS -N --max-time 30 -o "$4" -w '%{http_code}' \
      -H "Authorization: Bearer $SITE_KEY" -H "Last-Event-ID: $3" \
      "http://127.0.0.1:$((BASE_PORT + $1))/v1/contracts/$2" 2> /dev/null)
    [ "$code" = 503 ] || return 0
    sleep 0.5
  done
  return 0
}

# Waits for stream $1's reader to end, reads the rest through VM number $2, and
# compares both with the complete answer in $SITE/$3.
contract_check_rest() {
  local last id
  wait "$CONTRACT_READER" 2> /dev/null
  id=$(contract_id "$1")
  [ -n "$id" ] || site_fail "stream $1: no contract id"
  # The last event may be incomplete.
  last=$(awk '/^id: /{id=$2} /^$/{if (id) print id; id=""}' "$SITE/$1" | tail -1)
  awk '{buf=buf $0 "\n"} /^$/{printf "%s", buf; buf=""}' "$SITE/$1" \
    > "$SITE/$1.whole"
  if ! grep -q '^data: \[DONE\]$' "$SITE/$1.whole"; then
    contract_read "$2" "$id" "$last" "$SITE/$1.rest"
  else
    : > "$SITE/$1.rest"
  fi
  cat "$SITE/$1.whole" "$SITE/$1.rest" > "$SITE/$1.all"
  [ "$(grep -c '^data: \[DONE\]$' "$SITE/$1.all")" = 1 ] ||
    site_fail "stream $1: no end after event $last: $(cat "$SITE/$1.rest")"
  diff <(contract_tokens "$SITE/$1.all") <(contract_tokens "$SITE/$3") \
    > "$SITE/$1.diff" || site_fail "stream $1 differs: $(head "$SITE/$1.diff")"
}

# Checks that no engine was sent a resumed text that it did not generate.
contract_check_engines() {
  ! grep -h bad_resume "$SITE"/e?.out || site_fail "an engine rejected a resume"
}
