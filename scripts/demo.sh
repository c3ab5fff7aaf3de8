#!/bin/bash
# Runs two regions on loopback under load and injected faults, and prints the
# status, a summary of the load and the result of the history check.
#
#     scripts/demo.sh [CUSTOMER]
#
# CUSTOMER is kreidefeld (default) or hagg.  BIN is the build folder (default
# build), BASE the first port (default 23000).  Exit status: 0 if the history
# check passed and all 50 batch tasks are done, non-zero otherwise.
CUSTOMER=${1:-kreidefeld}
root=$(cd "$(dirname "$0")/.." && pwd)
BIN=${BIN:-$root/build}
RUN=$(mktemp -d)
BASE=${BASE:-23000}
. "$root/scripts/cluster.sh"
clean_up() {
    cluster_stop
    rm -rf "$RUN"
}
trap clean_up EXIT
print_step() { printf '\n== %s\n' "$*"; }

print_step "start: store, 3 data centres in 2 regions, $((DC_COUNT * HOSTS_PER_DC)) entry hosts"
cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS

print_step "apply examples/$CUSTOMER.ini"
"$BIN/nutmegctl" plan "$root/examples/$CUSTOMER.ini" | head -8
"$BIN/nutmegctl" apply --wait "$root/examples/$CUSTOMER.ini" || exit 1
wait_ready "${HOST_OPS[@]}" || exit 1

killed_host="${DATACENTRES[0]}-0"
stopped_host="${DATACENTRES[1]}-0"
failed_port=$(($(executor_port 0) + 1))
print_step "callers: checks and orders for 14 s"
"$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
    --duration-s 14 --threads 48 --rate 500 --orders 25 --repeats 25 \
    --mortal "${HOST_CALLER[$killed_host]}" --log "$RUN/calls.jsonl" \
    >"$RUN/summary" &
load_pid=$!
sleep 2
print_step "worker 1 leaves: its tasks are checkpointed and resume elsewhere"
http_post "http://127.0.0.1:$(platform_port 0)/admin?worker=1&mode=leaving"
sleep 1
print_step "kill -9 entry host $killed_host, the owner of its data centre"
kill -9 "${HOST_PID[$killed_host]}"
sleep 2
print_step "the executor on port $failed_port stops responding"
http_post "http://127.0.0.1:$failed_port/admin?mode=gone"
sleep 2
print_step "graceful shutdown of entry host $stopped_host"
kill -TERM "${HOST_PID[$stopped_host]}"
wait "${HOST_PID[$stopped_host]}" 2>/dev/null
echo "exit status $?"
start_host "$killed_host"
wait "$load_pid"
sleep 3

print_step "status"
"$BIN/nutmegctl" status
print_step "result"
sed 's/ statuses.*//' "$RUN/summary"
"$BIN/check_history" "$RUN"/*.jsonl
status=$?
done_tasks=$(grep -h '"event":"done"' "$RUN"/tasks-*.jsonl | wc -l)
echo "batch tasks done: $done_tasks of 50"
[ "$done_tasks" -eq 50 ] || status=1
[ "$status" -eq 0 ] && echo "demo passed" ||
    echo "demo failed"
exit "$status"
