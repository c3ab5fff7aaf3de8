#!/bin/bash
# Runs the fuzz targets on the stored corpus with a fixed seed.
#
#     tests/fuzz.sh BUILD [RUNS]
#
# BUILD is a build folder with NUTMEG_FUZZ, RUNS the number of runs of each
# target (default 60000).  Exit status: 0 if no target found a fault, 1
# otherwise, 2 if the root of the sources cannot be entered.
cd "$(dirname "$0")/.." || exit 2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for target in fuzz_input fuzz_platform; do
    corpus=tests/corpus
    [ "$target" = fuzz_platform ] && corpus=tests/corpus_platform
    mkdir "$scratch/$target"
    "$1/$target" -seed=1 -runs="${2:-60000}" -max_len=4096 -timeout=10 \
        -print_final_stats=0 -verbosity=0 "$scratch/$target" $corpus || exit 1
    echo "$target: ${2:-60000} runs without a fault"
done
