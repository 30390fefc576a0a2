# Checks that an upstream that names a limit gets no more requests than that from all
# entry VMs together: while another upstream takes the rest, when the leader is
# killed, and when all upstreams of the service have a limit.  What they cannot take
# is refused at once.  A limit that ends, or cannot be read, holds nothing back.
# Usage: platform_server_limit.sh BUILD
set -u
BUILD=$1
BASE_PORT=29100
SITE_SECONDS=240
. "$(dirname "$0")/../support/platform_site.sh"

# The platform's rule: from CONTACT_MS after an upstream first named its limit, in
# any WINDOW_MS at most one and a half times what it allows, and SLACK more.
CONTACT_MS=3000
WINDOW_MS=4000
SLACK=5

# Longest time until a refusal that needs no waiting, in milliseconds.
REFUSAL_MS=400

ENTRIES=3

now_ms() { date +%s%3N; }

# set_limit UPSTREAM LIMIT: lets the upstream name LIMIT in its answers; none if empty
set_limit() {
  local port=$((BASE_PORT + ${1#p} + 5))
  curl -s -m 5 -o /dev/null -H 'X-Request-Id: command' -d "$2" \
    "http://127.0.0.1:$port/look/limit-now"
}

# load NAME SECONDS: about 42 requests a second through all entry VMs
load() (
  local i entry
  for i in $(seq $(($2 * 14))); do
    for entry in $(seq $ENTRIES); do
      # The time is curl's: without the start of the shell's programs.
      platform_request "$entry" "$1-$i-$entry" /look/good -o /dev/null \
        -D "$SITE/$1-$i-$entry.head" -w '%{http_code} %{time_total}\n' \
        >> "$SITE/$1.status" &
    done
    sleep 0.065
  done
  wait
)

# worst UPSTREAM FROM_MS TO_MS: prints the most requests in WINDOW_MS in that time
worst() {
  grep '"run"' "$SITE/$1.out" | sed 's/.*"ms":\([0-9]*\)}.*/\1/' | sort -n |
    awk -v from="$2" -v to="$3" -v window=$WINDOW_MS '
      $1 >= from && $1 <= to {
        at[++n] = $1
        while (at[first + 1] <= $1 - window) first++
        if (n - first > worst) worst = n - first
      }
      END { print worst + 0 }'
}

# check UPSTREAM LIMIT FROM_MS TO_MS
check() {
  local most allowed
  most=$(worst "$1" "$3" "$4")
  allowed=$(awk -v l="$2" -v w=$WINDOW_MS -v s=$SLACK 'BEGIN { print int(1.5 * l * w / 1000 + s) }')
  echo "$1 with a limit of $2: $most requests in the worst $WINDOW_MS ms, $allowed allowed" >&2
  [ "$most" -le "$allowed" ] || failed="$failed $1 got $most requests in $WINDOW_MS ms, $allowed allowed."
}

# Prints the number of the control VM that leads.
leader() {
  grep -h '"event":"leads"' "$SITE"/control-[123].out |
    sed 's/.*"vm":"control-\([0-9]\)".*"term":\([0-9]*\).*/\2 \1/' | sort -n | tail -n 1 |
    cut -d ' ' -f 2
}

failed=
platform_up 3 $ENTRIES

# One of two upstreams has a limit; the leader is killed meanwhile.
set_limit p1 1.5
load one 1
from=$(($(now_ms) + CONTACT_MS - 1000))
load one 7
site_kill "control-$(leader)"
load one 6
check p1 1.5 "$from" "$(now_ms)"
n=$(grep -vc '^200' "$SITE/one.status")
[ "$n" -le 2 ] || failed="$failed $n requests were not served while one upstream had no limit."

# Both have one: the rest is refused at once.
set_limit p2 3
load two 1
from=$(($(now_ms) + CONTACT_MS - 1000))
load two 8
check p1 1.5 "$from" "$(now_ms)"
check p2 3 "$from" "$(now_ms)"
served=$(grep -c '^200' "$SITE/two.status")
[ "$served" -ge 20 ] || failed="$failed only $served requests were served within the limits of 4.5 a second."
slow=$(tail -n 200 "$SITE/two.status" | awk -v max=$REFUSAL_MS '$1 == 503 && $2 * 1000 > max' | wc -l)
[ "$slow" -le 5 ] || failed="$failed $slow refusals took longer than $REFUSAL_MS ms."
without=$(grep -L -i '^Retry-After: 0*\.*[0-9]*[1-9]' $(grep -l ' 503 ' "$SITE"/two-*.head) /dev/null | grep -vc /dev/null)
[ "$without" = 0 ] || failed="$failed $without refusals had no Retry-After."
echo "served $served of $(wc -l < "$SITE/two.status"), $slow slow refusals, $(
  grep -h -i '^Retry-After' "$SITE"/two-*.head | tr -d '\r' | sort | sed -n '1p;$p' | paste -sd ' ')" >&2

# The limits end, and an unreadable one does not count.
set_limit p1 -3
set_limit p2 ""
load three 6
load four 3
n=$(grep -vc '^200' "$SITE/four.status")
[ "$n" -le 2 ] || failed="$failed $n requests were not served after the limits had ended."
grep -q '"event":"unreadable limit"' "$SITE"/entry-[123].out || failed="$failed The log has no line on the unreadable limit."
[ -z "$failed" ] || site_fail "$failed"
echo "an upstream gets no more requests than the limit that it names"
