#!/bin/bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/, with the
# compiler and the libraries that the deploy file names.  Exit status: 0 if
# they are built, else 1 or 2.
cd "$(dirname "$0")/.." || exit 2
set -e
mkdir -p target/review-2
flags=$(pkg-config --cflags --libs libmicrohttpd libcurl glib-2.0 jansson)
# shellcheck disable=SC2086
cc -std=gnu11 -O2 -Wall -Wextra -o target/review-2/rig.new \
    review/rig-2/rig.c \
    $flags -lpthread
mv target/review-2/rig.new target/review-2/rig
