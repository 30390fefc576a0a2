# Checks the callers' port of an entry VM: ambiguously framed requests are refused
# and no part of them runs, limits are enforced, and slow heads time out.
# Usage: platform_framing.sh BUILD
set -u
BUILD=$1
BASE_PORT=26200
. "$(dirname "$0")/../support/platform_site.sh"

# raw TEXT: sends TEXT, a printf format, and prints the answer
raw() {
  exec 3<> "/dev/tcp/127.0.12.1/$BASE_PORT"
  printf "$1" >&3
  timeout 3 cat <&3 | tr -d '\r'
  exec 3>&-
}

# refused NAME FIELDS: checks that the request gets one 400 and does not run
refused() {
  local answer
  answer=$(raw "POST /look/good HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: $1\r\nAuthorization: Bearer $PLATFORM_KEY\r\n$2\r\nabcPOST /look/good HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: $1s\r\nAuthorization: Bearer $PLATFORM_KEY\r\nContent-Length: 0\r\n\r\n")
  head -n 1 <<< "$answer" | grep -q ' 400 ' || site_fail "$1: $answer"
  [ "$(grep -c '^HTTP/1.1' <<< "$answer")" = 1 ] || site_fail "$1: more than one answer"
  grep -q "\"run\":\"$1" "$SITE"/p[12].out && site_fail "$1 ran"
  echo "$1: refused"
}

platform_up 1 1
refused length-twice 'Content-Length: 3\r\nContent-Length: 50\r\n'
refused length-space 'Content-Length : 3\r\n'
refused length-plus 'Content-Length: +3\r\n'
refused length-and-chunks 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'
refused other-coding 'Transfer-Encoding: xchunked\r\n'
refused folded 'X-A: b\r\n c\r\nContent-Length: 3\r\n'
refused bare-line-feed 'X-A: b\nContent-Length: 3\r\n'
refused two-hosts 'Host: other\r\nContent-Length: 3\r\n'
refused two-keys 'Idempotency-Key: a\r\nIdempotency-Key: a\r\nContent-Length: 3\r\n'

# named MESSAGE FIELDS: checks that the head gets 400 with MESSAGE
named() {
  local answer
  answer=$(raw "GET /look/good HTTP/1.1\r\nX-Request-Id: named\r\nAuthorization: Bearer $PLATFORM_KEY\r\n$2\r\n")
  head -n 1 <<< "$answer" | grep -q ' 400 ' || site_fail "$1: $answer"
  grep -q "$1" <<< "$answer" || site_fail "no '$1' in $answer"
}
named 'Host is missing' ''
named 'Idempotency-Key comes twice' 'Host: h.example\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n'
answer=$(raw "GET /look/good HTTP/1.0\r\n\r\n")
head -n 1 <<< "$answer" | grep -q ' 404 ' || site_fail "HTTP/1.0 without Host is not routed: $answer"
echo "invalid headers: named"

answer=$(raw "POST /look/good HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ext\r\nAuthorization: Bearer $PLATFORM_KEY\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n")
grep -q 'good answer' <<< "$answer" || site_fail "a chunk extension is refused: $answer"
grep '"run":"ext"' "$SITE"/p[12].out | grep -q '"body":3' || site_fail "the body with a chunk extension was not read as 3 bytes"
echo "chunk extension: accepted"

long=$(printf 'x%.0s' $(seq 9000))
answer=$(raw "GET /look/good HTTP/1.1\r\nHost: h.example\r\nX-Long: $long\r\n\r\n")
head -n 1 <<< "$answer" | grep -q ' 431 ' || site_fail "long head: $answer"
grep -q '"code":"head_too_large"' <<< "$answer" || site_fail "long head: $answer"
answer=$(raw "POST /look/good HTTP/1.1\r\nHost: h.example\r\nContent-Length: 200000\r\n\r\n")
head -n 1 <<< "$answer" | grep -q ' 413 ' || site_fail "long body: $answer"
echo "limits: enforced"

began=$(date +%s%N)
answer=$(raw "GET /look/good HTTP/1.1\r\nHost: h.ex")
spent=$((($(date +%s%N) - began) / 1000000))
head -n 1 <<< "$answer" | grep -q ' 408 ' || site_fail "half a head: $answer"
[ "$spent" -lt 2500 ] || site_fail "half a head was kept for $spent ms"
echo "half a head: timed out"
