# Runs a short soak of the control VMs for each seed that once failed, with the number
# of control VMs that stands beside it.  Usage: fault_soak_control.sh BUILD
set -u
BUILD=$1
PORT=32740
HERE=$(dirname "$0")
FOLDER=$(mktemp -d)
# Other checkouts that run this test use the same ports: the lock makes them
# run one at a time.
exec 9> "${TMPDIR:-/tmp}/briarrack-ports-$PORT.lock"
flock 9
if "$BUILD/soak" --build "$BUILD" --folder "$FOLDER" --port $PORT --seconds 18 \
  --regressions "$HERE/../soak/regressions_control.txt" --control 4 --seeds 0; then
  rm -rf "$FOLDER"
else
  echo "the soak of the control VMs failed; logs and disks are in $FOLDER" >&2
  exit 1
fi
