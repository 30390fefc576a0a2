# Shell functions for tests with fake_abrupt, whose answers the requests state.
# Source site.sh or platform_site.sh first.

UPLOAD_BYTES=6000000

STAMP='X-Server-Stamp: s'
EVENT_STREAM='Content-Type: text/event-stream'

# Prints standard input in hexadecimal.
abrupt_hex() { od -An -v -tx1 | tr -d ' \n'; }

# abrupt_body FILE END WAIT_MS [BYTES]: writes a request body that states the answer on
# standard input and how it ends, filled up by BYTES
abrupt_body() {
  {
    printf '{"n":1,"answer":"%s","end":"%s","wait_ms":%d,"fill":"' "$(abrupt_hex)" "$2" "$3"
    [ "${4:-0}" = 0 ] || head -c "$4" /dev/zero | tr '\0' x
    printf '"}'
  } > "$1"
}

# Starts the platform's API and the upstreams of platform_site.sh, all as fake_abrupt.
abrupt_upstreams() {
  local i ports=
  for i in 4 5 6 7; do ports="$ports --port $((BASE_PORT + i))"; done
  site_start cloud "$BUILD/fake_cloud" --port $((BASE_PORT + 3)) \
    --runner "r1,llm,castillos,$((BASE_PORT + 4))" \
    --runner "r2,llm,castillos,$((BASE_PORT + 5))" \
    --runner "p1,ledger,castillos,$((BASE_PORT + 6))" \
    --runner "p2,ledger,castillos,$((BASE_PORT + 7))"
  # shellcheck disable=SC2086
  site_start abrupt "$BUILD/fake_abrupt" $ports
}

# Prints the first N events of a stream: abrupt_events N
abrupt_events() {
  local i
  for i in $(seq "$1"); do printf 'id: %d\ndata: part %d\n\n' "$i" "$i"; done
}

# Prints an answer of status 200 whose body is standard input, cut off after KEPT bytes if
# that is given: abrupt_answer open|close|length|chunks HEADER... [-- KEPT]
abrupt_answer() {
  local framing=$1 body kept=
  shift
  body=$(cat; printf .)
  body=${body%.}
  printf 'HTTP/1.1 200 OK\r\n'
  while [ $# -gt 0 ]; do
    [ "$1" = -- ] && { kept=$2; break; }
    printf '%s\r\n' "$1"
    shift
  done
  case $framing in
    close) printf 'Connection: close\r\n' ;;
    length) printf 'Content-Length: %d\r\n' ${#body} ;;
    chunks) printf 'Transfer-Encoding: chunked\r\n' ;;
  esac
  printf '\r\n'
  if [ "$framing" != chunks ]; then
    printf '%s' "${body:0:${kept:-${#body}}}"
  elif [ -n "$kept" ]; then
    printf '%x\r\n%s\r\n' "$kept" "${body:0:$kept}"
  else
    printf '%x\r\n%s\r\n0\r\n\r\n' ${#body} "$body"
  fi
}
