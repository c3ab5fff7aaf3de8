#!/bin/bash
# Fault soak by hand: scripts/soak.sh BUILD FIRST LAST [SECONDS] [LANES]
# Plays seeds FIRST..LAST, LANES at a time; prints one line for each, keeps
# settings, logs and events of those that fail, and ends with a count.
set -u
build=$1 first=$2 last=$3
seconds=${4:-20}
lanes=${5:-2}
folder=$(mktemp -d)

play() {
    local seed=$1 lane=$2
    mkdir -p "$folder/$seed"
    "$build/soak" --program "$build/nutmegentry" --seed "$seed" \
        --seconds "$seconds" --folder "$folder/$seed" \
        --base-port $((10000 + lane * 1000 + seed % 2 * 500)) \
        >"$folder/$seed.txt" 2>&1
    local status=$?
    tail -1 "$folder/$seed.txt"
    if [ "$status" -eq 0 ]; then
        rm -rf "${folder:?}/$seed" "$folder/$seed.txt"
    fi
    echo "$status" >>"$folder/results"
}

for ((lane = 0; lane < lanes; lane++)); do
    for ((seed = first + lane; seed <= last; seed += lanes)); do
        play "$seed" "$lane"
    done &
done
wait
passed=$(grep -c '^0$' "$folder/results")
failed=$(grep -vc '^0$' "$folder/results")
echo "$passed passed, $failed failed; what failed is kept in $folder"
[ "$failed" -eq 0 ]
