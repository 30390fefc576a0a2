#!/bin/bash
# Builds the stand-ins of the cases into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in stand_ins/*.c; do
  "${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o "bin/$(basename "$source" .c)" "$source" -pthread
done
