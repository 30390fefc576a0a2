#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
libraries="target/libbriarrack_core.a -levent -levent_pthreads -lprotobuf-c -ljson-c -lyajl -lxxhash
 -lcrypto -lhttp_parser -lz -lpthread -lm"
cc -O1 -g -D_GNU_SOURCE -o "$out/forward" review/stand_ins-2/forward.c
# shellcheck disable=SC2086
cc -O1 -g -D_GNU_SOURCE -Isrc -I. -Itests/support -o "$out/fake_cloud" tests/fakes/fake_cloud.c $libraries
# shellcheck disable=SC2086
cc -O1 -g -D_GNU_SOURCE -Isrc -I. -Itests/support -o "$out/fake_runner" tests/fakes/fake_runner.c \
  tests/support/upstream_faults.c $libraries
