#!/bin/bash
# Tests what clients that misbehave make real processes hold: nutmegentry at a
# path with a route, a path without one, the readiness address and the
# operators' address, and nutmegd at its callers' and operators' addresses.
#
#     BIN=build tests/process_clients.sh [CASE...]
#
# BIN is the build folder; without CASE, all cases of load_clients are played.
# Each case checks that the process is alive, that its peak of memory and its
# open descriptors stay under a bound, and that ordinary requests are answered;
# no times and no share of requests served.  Exit status: 0 if all cases
# passed, 1 otherwise; a line "FAILED: ..." names the case.
: "${BIN:?}"
root=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(mktemp -d)
BASE=$((10000 + $$ % 68 * 250))
DC_COUNT=1 HOSTS_PER_DC=1
. "$root/scripts/cluster.sh"
clean_up() {
    cluster_stop
    rm -rf "$RUN"
}
trap clean_up EXIT
status=0

# The crowd and the bounds belong together: without limits, the bodies of the
# crowd (60 MiB) and its connections (600) exceed them, and a process that is
# idle has 14 MiB and 40 descriptors.  200 descriptors are for files.
CROWD=240
MEMORY_MB=48
MAX_FDS=700
MAX_KIB=$((MEMORY_MB * 1024))
FDS_BOUND=$((MAX_FDS - 200))

cases=("$@")
[ ${#cases[@]} -gt 0 ] || mapfile -t cases < <("$BIN/load_clients" --list)

# Plays all cases at one path.  A process that failed is replaced, so that the
# next case begins with its own peak.
play_cases() {
    local target=$1 path=$2 restart=$3
    shift 3
    local name
    for name in "${cases[@]}"; do
        "$BIN/load_clients" --case "$name" --target "$target" --path "$path" \
            --pid "$PID" --crowd "$CROWD" --max-kib "$MAX_KIB" \
            --max-fds "$FDS_BOUND" "$@" && continue
        echo "FAILED: $name at $target$path"
        status=1
        kill -9 "$PID"
        wait "$PID" 2>/dev/null
        "$restart" || exit 1
    done
}

# --- nutmegentry ---

entry_port=$((BASE + 200))
start_entry() {
    "$BIN/nutmegentry" --settings "$RUN/entry.json" >>"$RUN/entry.log" 2>&1 &
    PID=$!
    register_pid "$PID"
    wait_status "127.0.0.1:$((entry_port + 1))/"
}

# Waits up to 40 s until the URL is answered with 200.
wait_status() {
    local attempts
    for ((attempts = 0; attempts < 400; attempts++)); do
        [ "$(curl -s -o /dev/null -m 2 -w '%{http_code}' "$1")" = 200 ] &&
            return 0
        sleep 0.1
    done
    echo "FAILED: no answer at $1"
    return 1
}

cat >"$RUN/entry.json" <<END
{"name": "h0", "zone": "z0", "front_address": "127.0.0.1:$entry_port",
 "ready_address": "127.0.0.1:$((entry_port + 1))",
 "peer_address": "tcp://127.0.0.1:$((entry_port + 2))",
 "metrics_address": "127.0.0.1:$((entry_port + 3))",
 "store_address": "127.0.0.1:$((entry_port + 4))",
 "cpu_share": 0.5, "grace_s": 5,
 "memory_mb": $MEMORY_MB, "max_fds": $MAX_FDS}
END
# Jobs of this test are unknown to the stand-in, which reports their starts.
"$BIN/load_clients" --platform $((entry_port + 4)) 2>"$RUN/platform.log" &
register_pid $!
start_entry || exit 1
entry_ordinary=(--ordinary "127.0.0.1:$entry_port/q/"
    --ordinary "127.0.0.1:$((entry_port + 1))/"
    --ordinary "127.0.0.1:$((entry_port + 3))/-/live")
play_cases "127.0.0.1:$entry_port" /q/ start_entry "${entry_ordinary[@]}"
play_cases "127.0.0.1:$entry_port" /none start_entry "${entry_ordinary[@]}"
play_cases "127.0.0.1:$((entry_port + 1))" / start_entry \
    "${entry_ordinary[@]}"
play_cases "127.0.0.1:$((entry_port + 3))" /-/counters start_entry \
    "${entry_ordinary[@]}"
cluster_stop

# --- nutmegd ---

cluster_start
host="${DATACENTRES[0]}-0"
# A build without these flags runs without the limits.
if "$BIN/nutmegd" --help | grep -q -- --memory-mb; then
    HOST_ARGS[$host]+=" --memory-mb=$MEMORY_MB --max-fds=$MAX_FDS"
fi
start_nutmegd() {
    start_host "$host"
    PID=${HOST_PID[$host]}
    wait_ready "${HOST_OPS[$host]}" &&
        wait_status "${HOST_CALLER[$host]}$SERVICE_PATH"
}
kill -9 "${HOST_PID[$host]}"
wait "${HOST_PID[$host]}" 2>/dev/null
NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT NUTMEGCTL_HOSTS=$(all_ops) \
    "$BIN/nutmegctl" apply "$root/examples/$CUSTOMER.ini" || exit 1
start_nutmegd || exit 1
nutmegd_ordinary=(--ordinary "${HOST_CALLER[$host]}$SERVICE_PATH"
    --ordinary "${HOST_OPS[$host]}/-/live")
play_cases "${HOST_CALLER[$host]}" "$SERVICE_PATH" start_nutmegd \
    "${nutmegd_ordinary[@]}"
play_cases "${HOST_CALLER[$host]}" /none start_nutmegd "${nutmegd_ordinary[@]}"
play_cases "${HOST_OPS[$host]}" /-/counters start_nutmegd \
    "${nutmegd_ordinary[@]}"
[ "$status" -eq 0 ] && echo "clients test passed"
exit "$status"
