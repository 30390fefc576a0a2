#!/bin/bash
# Measures the time from the kill of the leader to the next commit, over many
# runs: three voters run as processes, and an additional VM proposes one command
# at a time.
# Usage: replica_failover.sh BUILD [RUNS]
set -u
cd "$(dirname "$0")/.."
BUILD=$1
RUNS=${2:-20}
BASE_PORT=22200
SITE_SECONDS=300
. tests/support/replica_site.sh
site_init
for i in 0 1 2; do log_start $i; done
log_leader > /dev/null || site_fail "no first leader"
for run in $(seq "$RUNS"); do
  leader=$(log_leader) || site_fail "no leader in run $run"
  log_propose 6000 1 run > /dev/null &
  client=$!
  SITE_PIDS+=($client)
  sleep 0.6
  log_kill "$leader" KILL
  wait $client
  # Prints the longest time without a commit, in ms.
  awk '$2 == "committed" { if (sum + $3 > max) max = sum + $3; sum = 0 }
       $2 != "committed" && $3 { sum += $3 }
       END { print int(max / 1000) }' "$SITE/run.txt"
  log_start "$leader"
  log_wait_equal 0 1 2 || site_fail "not equal after run $run"
done > "$SITE/times"
sort -n "$SITE/times" | awk '{ t[NR] = $1 }
  END { printf "runs=%d min_ms=%d median_ms=%d p90_ms=%d max_ms=%d\n", NR,
        t[1], t[int((NR + 1) / 2)], t[int(NR * 0.9)], t[NR] }'

# Prints the bytes a second that each voter sends while nothing is proposed.
sent() {
  curl -s "http://127.0.0.1:$((BASE_PORT + 10 + $1))/metrics" |
    sed -n "s/^briarrack_$2 //p"
}
for i in 0 1 2; do
  log_before[i]=$(sent $i log_sent_bytes_total)
  all_before[i]=$(sent $i peer_sent_bytes_total)
done
sleep 10
for i in 0 1 2; do
  echo "voter $i: $((($(sent $i log_sent_bytes_total) - log_before[i]) / 10))" \
    "log bytes/s, $((($(sent $i peer_sent_bytes_total) - all_before[i]) / 10))" \
    "peer bytes/s, $(log_role $i)"
done
