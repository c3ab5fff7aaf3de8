#!/bin/bash
# Runs concurrent load through real processes under injected faults and checks
# the recorded history.  Faults: entry hosts killed and paused, executors that
# reset connections, truncate responses, slow down or deregister, an
# unreachable worker, a store outage, lost store responses, and a graceful
# shutdown under load.
#
#     BIN=build tests/process_faults.sh
#
# BIN is the build folder.  CUSTOMER (default kreidefeld), BASE (first port,
# default 22000) and KEEP (copies the logs to this path) are optional.  Exit
# status: 0 if the history check and the shutdown passed, non-zero otherwise.
: "${BIN:?}" "${CUSTOMER:=kreidefeld}" "${BASE:=22000}"
RUN=$(mktemp -d)
. "$(dirname "$0")/../scripts/cluster.sh"
clean_up() {
    cluster_stop
    rm -rf "$RUN"
}
trap clean_up EXIT
cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS
"$BIN/nutmegctl" apply --wait "$(dirname "$0")/../examples/$CUSTOMER.ini" ||
    exit 1
wait_ready "${HOST_OPS[@]}" || exit 1

killed_host="${DATACENTRES[0]}-0"
paused_host="${DATACENTRES[1]}-0"
stopped_host="${DATACENTRES[2]}-0"
store_admin="http://127.0.0.1:$STORE_PORT/admin"
executor_url="http://127.0.0.1"

"$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
    --duration-s 24 --threads 96 --rate 500 --orders 30 --repeats 30 \
    --mortal "${HOST_CALLER[$killed_host]},${HOST_CALLER[$paused_host]}" \
    --log "$RUN/calls.jsonl" >"$RUN/summary" &
load_pid=$!
sleep 1
for mode in reset-before reset-after cut slow; do
    port=$(($(executor_port 0) + i++))
    http_post "$executor_url:$port/admin?mode=$mode&percent=10"
done
sleep 1
kill -9 "${HOST_PID[$killed_host]}"
sleep 2
start_host "$killed_host"
kill -STOP "${HOST_PID[$paused_host]}"
http_post "http://127.0.0.1:$(platform_port 0)/admin?worker=5&mode=dead"
sleep 4
kill -CONT "${HOST_PID[$paused_host]}"
http_post "$store_admin?mode=down"
http_post "http://127.0.0.1:$(platform_port 1)/admin?executor=1&mode=leaving"
sleep 4
http_post "$store_admin?mode=lose"
sleep 4
http_post "$store_admin?mode=ok"
kill -TERM "${HOST_PID[$stopped_host]}"
wait "${HOST_PID[$stopped_host]}"
stop_status=$?
sleep 1
start_host "$stopped_host"
wait "$load_pid"
cat "$RUN/summary"
http_post "http://127.0.0.1:$(platform_port 0)/admin?worker=5&mode=ok"
sleep 3
"$BIN/nutmegctl" status
# The fault "executor deregisters" must have been injected.
grep -q '"event":"leaving"' "$RUN"/tasks-*.jsonl || exit 1
"$BIN/check_history" "$RUN"/*.jsonl
status=$?
[ -n "${KEEP:-}" ] && cp -r "$RUN" "$KEEP"
for ((d = 0; d < DC_COUNT; d++)); do
    for ((e = 0; e < EXECUTORS_PER_DC; e++)); do
        curl -s -m 5 "$executor_url:$(($(executor_port "$d") + e))/admin"
    done
done
if [ "$stop_status" -ne 0 ]; then
    echo "graceful shutdown ended with status $stop_status"
    status=1
fi
exit "$status"
