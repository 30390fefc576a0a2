# Guards against a relayed request that runs under an older configuration than the entry VM that
# relays it has in force.  Usage: platform_helper_version.sh BUILD
set -u
BUILD=$1
BASE_PORT=32440
. "$(dirname "$0")/../support/platform_site.sh"

FAILED=

# fault TEXT...: records a failure and goes on
fault() {
  echo "$*" >&2
  FAILED="$FAILED $*;"
}

# relay ID [CURL ARGUMENT...]: sends a request to the helper as another entry VM does; prints body and status
relay() {
  local id=$1 proof
  shift
  proof=$(printf 'relay %s' "$id" | openssl dgst -sha256 -hmac platform-site-key -r | cut -d ' ' -f 1)
  curl -s -m 5 -w '%{http_code}\n' -D "$SITE/$id.head" -X POST -d "$id" -H 'Host: h.example' -H "X-Request-Id: $id" \
    -H "Authorization: Bearer $PLATFORM_KEY" -H "X-Briarrack-Relay: 2 sha256:$proof" \
    -H 'X-Briarrack-Relay-Nonce: 0123456789abcdef' "$@" "http://127.0.12.1:$((BASE_PORT + 9))/pay/good"
}

# runs ID: prints how often the request ran
runs() { cat "$SITE"/[rp][12].out | grep -c "\"run\":\"$1\""; }

# check ID STATUS RUNS STATED [VERSION]: relays a request under VERSION, or without one
check() {
  local answer
  answer=$(relay "$1" ${5:+-H "X-Briarrack-Relay-Version: $5"})
  [ "$(tail -n 1 <<< "$answer")" = "$2" ] || fault "$1: $answer"
  [ "$(runs "$1")" = "$3" ] || fault "$1 ran $(runs "$1") times"
  grep -qi "^X-Briarrack-Relayed: $4 sha256:" "$SITE/$1.head" || fault "$1: $(cat "$SITE/$1.head")"
}

platform_up 1 1
check same 200 1 1 1
check absent 200 1 1
check newer 503 0 0 2
check far 503 0 0 18446744073709551615
platform_configuration 2 > "$SITE/2.json"
[ "$(platform_put 1 "$SITE/2.json")" = 200 ] || site_fail "configuration 2 is not accepted"
version_is_2() { [ "$(tail -n 1 <<< "$(relay "probe-$(date +%s%N)" -H 'X-Briarrack-Relay-Version: 2')")" = 200 ]; }
platform_wait version_is_2 || fault "configuration 2 is in force, and its requests are refused"
check older 200 1 1 1

# Callers can't ask for a version.
platform_request 1 caller /pay/good -X POST -d x -H 'X-Briarrack-Relay-Version: 9' | grep -q '^200$' ||
  fault "a caller's own field is obeyed"
[ -z "$FAILED" ] || site_fail "$FAILED"
echo "relayed requests: none runs under an older configuration"
