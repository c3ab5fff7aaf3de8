#!/bin/bash
# Fault soak, short: two seeds must keep all promises, and a store that drops
# what it acknowledged must be told.  Needs BIN, the build folder.
set -u
folder=$(mktemp -d)
# Below the ports that the system gives to callers; two runs differ.
base=$((10000 + $$ % 40 * 500))
status=0

soak() {
    local expected=$1
    shift
    "$BIN/soak" --program "$BIN/nutmegentry" --base-port "$base" \
        --folder "$folder" "$@" 2>&1 | tail -8
    local result=${PIPESTATUS[0]}
    if [ "$result" -ne "$expected" ]; then
        echo "soak $*: status $result, expected $expected; logs in $folder"
        status=1
    fi
    base=$((base + 500))
}

soak 0 --seed 1 --seconds 8
soak 0 --seed 2 --seconds 8
soak 1 --seed 3 --seconds 3 --calm --forget --settle 5
[ "$status" -eq 0 ] && rm -rf "$folder"
exit "$status"
