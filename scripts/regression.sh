#!/bin/bash
# Regression runs on deployments: scripts/regression.sh BENCH PAGES [JOBS]
# BENCH is the users' bench, PAGES the folder of its pages.  Scores each
# deployment, hunts a few days on it, prints a line for each run, and fails if
# a gate fails or a rule breaks.  The newest deployments come first; the base
# ones made room for them and are played when their own code paths change.
set -u
bench=$1
pages=$2
jobs=${3:-3}
sites=(
    large/kreidefeld-deck-large.toml
    further-grown/ushidayori-nd-grown.toml
    further/ushidayori-nd.toml
    grown/kreidefeld-deck-grown.toml
    grown/hagg-neon-grown.toml
)
hunt_days=8
status=0

for site in "${sites[@]}"; do
    output=$("$bench" score "$pages/$site" --jobs "$jobs" \
        --why "regression" 2>&1)
    echo "$site: $(grep -E '^GATE ' <<<"$output" || echo 'GATE not reached')"
    grep -q '^GATE passed' <<<"$output" || status=1
    output=$("$bench" hunt "$pages/$site" --days "$hunt_days" \
        --jobs "$jobs" --why "regression" 2>&1)
    line=$(grep -E 'with a rule broken' <<<"$output" || echo 'not played')
    echo "$site: $line"
    grep -q ', 0 with a rule broken' <<<"$output" || status=1
done
exit "$status"
