# Shell functions for tests whose upstreams answer with given bytes.  Source
# after site.sh.

# Prints an event with text $1.
raw_event() {
  printf 'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n' "$1"
}

# Prints the end of a stream.
raw_done() {
  printf 'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
  printf 'data: [DONE]\n\n'
}

# The length counts %P as two characters, so prompts of two characters fit.
# Prints a whole answer with the body of standard input: raw_answer STATUS
# [HEADER...]
raw_answer() {
  local status=$1 body
  shift
  # The dot keeps line ends at the end of the body.
  body=$(cat; printf .)
  printf 'HTTP/1.1 %s Status\r\n' "$status"
  [ $# -eq 0 ] || printf '%s\r\n' "$@"
  printf 'Content-Length: %d\r\n\r\n%s' $((${#body} - 1)) "${body%.}"
}

# Prints the head of an answer without length or chunks: raw_open_head STATUS
# [HEADER...]
raw_open_head() {
  printf 'HTTP/1.1 %s Status\r\n' "$1"
  shift
  printf '%s\r\n' "$@" 'Connection: close' ''
}

# Starts an upstream number $1 that answers with the bytes of files $SITE/NAME,
# NAME being $2; more of its options may follow.
raw_start() {
  local port=$1 name=$2
  shift 2
  site_start "raw-$name" "$BUILD/fake_raw" --port "$port" \
    --answer "$SITE/$name" "$@"
  site_wait "http://127.0.0.1:$port/health"
}

# Starts the VMs and applies the declarations.
raw_site_up() {
  local i
  for i in 0 1 2; do site_start_vm "$i"; done
  for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
  site_declarations > "$SITE/declarations.json"
  site_apply "$SITE/declarations.json" > /dev/null || site_fail "apply"
}

# Prints a request with prompt $1.
raw_body() {
  printf '{"model":"contract-lm","stream":%s,"max_tokens":6,"messages":[{"role":"user","content":"%s"}]}' \
    "${2:-true}" "$1"
}

# Prints the text of the stream in file $1.
raw_text() {
  grep -o '"content":"[^"]*"' "$1" | sed 's/^"content":"//; s/"$//' | tr -d '\n'
}
