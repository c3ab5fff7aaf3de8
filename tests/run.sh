#!/bin/bash
# Runs the tests of a build folder: tests/run.sh BUILD [units].
# Closing line: "N passed, N failed".  Tests that KNOWN-RED.txt lists by
# name are printed and passed over.
cd "$(dirname "$0")/.." || exit 2
build=$1
part=${2:-all}
passed=0
failed=0
known=0

is_known() {
    tail -n +2 KNOWN-RED.txt | grep -qF -- "$1"
}

judge() {
    local name=$1 status=$2 output=$3
    if [ "$status" -eq 0 ]; then
        passed=$((passed + 1))
    elif is_known "$name"; then
        known=$((known + 1))
        echo "known red: $name"
    else
        failed=$((failed + 1))
        echo "FAILED: $name"
        echo "$output" | tail -40
    fi
}

# Each case of a GLib test program counts for itself.
run_unit() {
    local program=$1 output status case_name planned told
    output=$("$program" --tap -k 2>&1)
    status=$?
    while read -r case_name; do
        judge "$(basename "$program") $case_name" 0 ""
    done < <(echo "$output" | sed -n 's/^ok [0-9]* \(\/.*\)/\1/p')
    while read -r case_name; do
        judge "$(basename "$program") $case_name" 1 "$output"
    done < <(echo "$output" | sed -n 's/^not ok \(\/.*\|[0-9]* \/.*\)/\1/p')
    # A program that aborts may end with 1 and no "not ok" line.
    planned=$(sed -n 's/^1\.\.\([0-9]*\)$/\1/p' <<<"$output" | head -1)
    told=$(grep -cE '^(not )?ok ' <<<"$output")
    if [ "$told" -lt "${planned:-1}" ] && [ "$status" -le 1 ]; then
        judge "$(basename "$program") ended early ($part)" 1 "$output"
    fi
    if [ "$status" -gt 1 ]; then
        judge "$(basename "$program")" 1 "$output"
    fi
}

for program in "$build"/test_*; do
    [ -x "$program" ] && run_unit "$program"
done

if [ "$part" = all ]; then
    for script in tests/process_*.sh; do
        [ -e "$script" ] || continue
        output=$(BIN="$build" bash "$script" 2>&1)
        judge "$script" $? "$output"
    done
    output=$(bench/run.sh "$build" 1 decisions 2>&1)
    while read -r line; do
        case $line in
        *pass) judge "$line" 0 "" ;;
        *) judge "$line" 1 "$line" ;;
        esac
    done < <(echo "$output" | grep '^bench ')
fi

[ "$known" -gt 0 ] && echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
