# Runs short soaks of the control VMs: for each seed that once failed, with the number of
# control VMs that stands beside it, and a wide one.  Usage: fault_soak_control.sh BUILD
set -u
BUILD=$1
PORT=32740
HERE=$(dirname "$0")
FOLDER=$(mktemp -d)
# Other checkouts that run this test use the same ports: the lock makes them
# run one at a time.
exec 9> "${TMPDIR:-/tmp}/briarrack-ports-$PORT.lock"
flock 9
run() {
  "$BUILD/soak" --build "$BUILD" --folder "$FOLDER" --seconds 18 \
    --regressions "$HERE/../soak/regressions_control.txt" "$@"
}
run --port $((PORT + 20)) --control 9 --wide --seed 910 --seeds 1 &
WIDE=$!
run --port $PORT --control 4 --seeds 0
STATUS=$?
if wait $WIDE && [ $STATUS = 0 ]; then
  rm -rf "$FOLDER"
else
  echo "the soak of the control VMs failed; logs and disks are in $FOLDER" >&2
  exit 1
fi
