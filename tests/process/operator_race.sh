# Two operators that expect the same revision apply changes through different
# VMs at the same time.  In each round one change is applied; the other is refused
# with the name of the applied operation and what it changed.  A resent operation
# gets its first result, also after a change of 1,000 declarations and a restart
# of all VMs.
# Usage: operator_race.sh BUILD [SEEDS]
set -u
BUILD=$1
BASE_PORT=23500
SEEDS=${2:-8}
. "$(dirname "$0")/../support/site.sh"

# operate VM OPERATION EXPECTED FILE
operate() {
  "$BUILD/briarrack" apply --server "127.0.0.1:$((BASE_PORT + 10 + $1))" \
    --operation "$2" --expect "$3" "$4"
}

# organisation NAME WEIGHT
organisation() {
  echo "[{\"kind\":\"organisation\",\"name\":\"$1\",
    \"selector\":\"org=alcornocales\",\"weight\":$2}]"
}

site_init
site_up || site_fail "site does not come up"
for seed in $(seq "$SEEDS"); do
  revision=$(site_revision 0)
  organisation alcornocales $((seed * 2 + 1)) > "$SITE/a.json"
  organisation alcornocales $((seed * 2 + 2)) > "$SITE/b.json"
  operate 0 "rocha-$seed" "$revision" "$SITE/a.json" > "$SITE/a" 2>&1 &
  a=$!
  operate 2 "kovacik-$seed" "$revision" "$SITE/b.json" > "$SITE/b" 2>&1 &
  b=$!
  wait "$a"
  a=$?
  wait "$b"
  b=$?
  if [ "$a" = 0 ] && [ "$b" = 7 ]; then
    winner=rocha loser=$SITE/b
  elif [ "$a" = 7 ] && [ "$b" = 0 ]; then
    winner=kovacik loser=$SITE/a
  else
    site_fail "seed $seed: exit codes $a and $b: $(cat "$SITE/a" "$SITE/b")"
  fi
  grep -q "operation $winner-$seed through .* changed organisation/alcornocales" \
    "$loser" || site_fail "seed $seed: $(cat "$loser")"
  [ "$(site_revision 0)" -ge $((revision + 1)) ] || sleep 0.2
  site_wait_revision $((revision + 1)) || site_fail "seed $seed: not in force"
  echo "seed $seed: $winner won revision $((revision + 1))"
done

{
  echo '['
  for i in $(seq 1000); do
    printf '{"kind":"workload","name":"w%d","key_digest":"sha256:%064x",' "$i" "$i"
    printf '"labels":{"org":"alcornocales","n":"%d"}}' "$i"
    [ "$i" -lt 1000 ] && echo ','
  done
  echo ']'
} > "$SITE/thousand.json"
revision=$(site_revision 1)
operate 1 thousand "$revision" "$SITE/thousand.json" > "$SITE/thousand.out" ||
  site_fail "1,000 declarations: $(cat "$SITE/thousand.out")"
# Sends each change to a VM that may lag behind the previous one.
for i in $(seq 150); do
  organisation alcornocales "$((i % 7 + 20))" > "$SITE/c.json"
  operate $((i % 3)) "many-$i" $((revision + i)) "$SITE/c.json" \
    > "$SITE/c" 2>&1 || site_fail "change $i: $(cat "$SITE/c")"
done
site_wait_revision $((revision + 151)) || site_fail "150 changes lag"
last=$(site_revision 0)
site_kill "${SITE_VMS[@]}"
for i in 0 1 2; do site_start_vm "$i"; done
for i in 0 1 2; do site_wait "http://127.0.0.1:$((BASE_PORT + i))/readyz"; done
site_wait_revision "$last" || site_fail "revision $last is lost"
for i in 0 1 2; do
  [ "$(site_revision "$i")" = "$last" ] || site_fail "VM $i: $(site_revision "$i")"
  n=$("$BUILD/briarrack" get workload --server "127.0.0.1:$((BASE_PORT + 10 + i))" |
    grep -c '^workload/w')
  [ "$n" = 1000 ] || site_fail "VM $i has $n of 1000"
done
operate 2 thousand "$revision" "$SITE/thousand.json" > "$SITE/again" ||
  site_fail "resend after the restart: $(cat "$SITE/again")"
grep -q "revision $((revision + 1)) .*answered before" "$SITE/again" ||
  site_fail "resend got another result: $(cat "$SITE/again")"
echo "operator race: ok"
