#!/bin/bash
# Runs the fuzz targets from the corpus with a fixed seed and number of
# runs: tests/fuzz.sh BUILD [RUNS].
cd "$(dirname "$0")/.." || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for target in fuzz_input fuzz_platform; do
    corpus=tests/corpus
    [ "$target" = fuzz_platform ] && corpus=tests/corpus_platform
    mkdir "$work/$target"
    "$1/$target" -seed=1 -runs="${2:-60000}" -max_len=4096 -timeout=10 \
        -print_final_stats=0 -verbosity=0 "$work/$target" $corpus || exit 1
    echo "$target: ${2:-60000} runs without a fault"
done
