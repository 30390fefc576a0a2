# Runs a short fault soak: each seed that once failed, then seeds 1 and 2.
# Usage: fault_soak.sh BUILD
set -u
BUILD=$1
PORT=27000
HERE=$(dirname "$0")
FOLDER=$(mktemp -d)
# Other checkouts that run this test use the same ports: the lock makes them
# run one at a time.
exec 9> "${TMPDIR:-/tmp}/briarrack-ports-$PORT.lock"
flock 9
if "$BUILD/soak" --build "$BUILD" --folder "$FOLDER" --port $PORT --seconds 5 \
  --regressions "$HERE/../soak/regressions.txt" --seed 1 --seeds 2; then
  rm -rf "$FOLDER"
else
  echo "the fault soak failed; logs and disks are in $FOLDER" >&2
  exit 1
fi
