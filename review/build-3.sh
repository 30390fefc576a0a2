#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in platform callers; do
  gcc -O2 -Wall -Wextra -D_GNU_SOURCE -pthread \
    -o "target/review-3/$name" "review/stand_ins-3/$name.c"
done
