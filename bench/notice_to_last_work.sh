#!/bin/bash
# Measures the time from a reclaim notice, which only one of three entry VMs
# receives from the platform, to the last new work on the upstream, under
# constant calls through all three.  The time of the last work is that of the
# last write to the engine's output, which comes at the end of a run, some 25 ms
# after its start.
# Usage: notice_to_last_work.sh BUILD [RUNS]
set -u
BUILD=$1
RUNS=${2:-20}
BASE_PORT=25500
SITE_SECONDS=$((60 + RUNS * 5))
PLATFORM=$((BASE_PORT + 90))
. "$(dirname "$0")/../tests/support/site.sh"

# Sends the JSON body $2 to the control path $1 of the fake platform.
platform_post() {
  curl -sf -o /dev/null --max-time 5 -d "$2" \
    "http://127.0.0.1:$PLATFORM/fake/$1"
}

# Sends one completion through VM $1 and prints the HTTP status.
complete() {
  site_complete "$1" '{"model":"leased-lm","max_tokens":2,
    "messages":[{"role":"user","content":"x"}]}' -o /dev/null \
    -w '%{http_code}'
}

# Sends calls through VM $1 until the file $SITE/calling is removed.
call_on() {
  while [ -e "$SITE/calling" ]; do
    complete "$1" > /dev/null 2>&1
    sleep 0.02
  done
}

site_init
platform_settings="\"platform\": {\"address\": \"127.0.0.1\",
  \"port\": $PLATFORM, \"poll_ms\": 1000}"
site_start platform "$BUILD/fake_platform" --port "$PLATFORM" --lag-ms 500
site_start leased "$BUILD/fake_engine" --name leased \
  --port $((BASE_PORT + 91)) --token-ms 1
for i in 0 1 2; do site_start_vm "$i" "$platform_settings"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/healthz"; done
echo "[{\"kind\": \"service\", \"name\": \"leased-lm\",
  \"selector\": \"model=leased-lm\"}, $(site_declarations | tail -n +2)" \
  > "$SITE/declarations.json"
site_apply "$SITE/declarations.json" > /dev/null || site_fail apply
touch "$SITE/calling"
for i in 0 1 2; do call_on "$i" & done
for run in $(seq "$RUNS"); do
  platform_post vm "{\"name\":\"leased\",\"role\":\"upstream\",
    \"failure_domain\":\"castillos\",\"address\":\"127.0.0.1\",
    \"port\":$((BASE_PORT + 91)),\"incarnation\":$run,\"state\":\"live\",
    \"labels\":{\"model\":\"leased-lm\"}}"
  for i in 0 1 2; do
    until [ "$(complete "$i")" = 200 ]; do sleep 0.05; done
  done
  receiver=${SITE_VMS[$((run % 3))]}
  noticed=$(date +%s.%N)
  platform_post notice "{\"vm\":\"leased\",\"incarnation\":$run,
    \"leave_in_ms\":60000,\"seen_by\":[\"$receiver\"]}"
  sleep 3.5
  last=$(stat -c %.6Y "$SITE/leased.out")
  awk -v a="$noticed" -v b="$last" 'BEGIN { printf "%.0f\n", (b - a) * 1000 }'
done | sort -n | awk '{ ms[NR] = $1 }
  END { printf "notice to last new work, %d runs: median %d ms, most %d ms\n",
        NR, ms[int((NR + 1) / 2)], ms[NR] }'
rm "$SITE/calling"
