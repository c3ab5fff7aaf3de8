#!/bin/bash
# Scores each deployment with the users' bench, searches it for broken rules
# with the bench's hunt of 8 days, and prints one line for each run.
#
#     scripts/regression.sh BENCH FOLDER [JOBS]
#
# BENCH is the users' bench, FOLDER holds its deployment files, and JOBS is
# the number of parallel runs (default 3).  Exit status: 0 if every gate
# passed and no rule was broken, 1 otherwise.
#
# The newest deployments come first.  The base deployments are left out in
# favour of these; run them separately when their own code paths change.
set -u
bench=$1
folder=$2
jobs=${3:-3}
deployments=(
    large/kreidefeld-deck-large.toml
    further-grown/ushidayori-nd-grown.toml
    further/ushidayori-nd.toml
    grown/kreidefeld-deck-grown.toml
    grown/hagg-neon-grown.toml
)
hunt_days=8
status=0

for deployment in "${deployments[@]}"; do
    output=$("$bench" score "$folder/$deployment" --jobs "$jobs" \
        --why "regression" 2>&1)
    echo "$deployment: $(grep -E '^GATE ' <<<"$output" ||
        echo 'GATE not reached')"
    grep -q '^GATE passed' <<<"$output" || status=1
    output=$("$bench" hunt "$folder/$deployment" --days "$hunt_days" \
        --jobs "$jobs" --why "regression" 2>&1)
    hunt_result=$(grep -E 'with a rule broken' <<<"$output" ||
        echo 'hunt has no result')
    echo "$deployment: $hunt_result"
    grep -q ', 0 with a rule broken' <<<"$output" || status=1
done
exit "$status"
