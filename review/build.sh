#!/bin/bash
# Builds the rig and the program of each case into review/bin.
#
#     review/build.sh
#
# Needs what the project itself declares: a C compiler, pkg-config, glib and
# jansson.  Exit status: 0 if all programs were built.
cd "$(dirname "$0")" || exit 1
set -e
mkdir -p bin
flags=(-std=c11 -O2 -D_GNU_SOURCE -Wall -Wextra)
read -r -a libraries <<<"$(pkg-config --cflags --libs jansson glib-2.0)"
for source in */case.c; do
    "${CC:-cc}" "${flags[@]}" rig/rig.c "$source" \
        -o "bin/case-${source%%/*}" "${libraries[@]}" -pthread
done
