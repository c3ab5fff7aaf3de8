#!/bin/bash
# Concurrent runs through real processes with faults, judged by the history
# checker: entry hosts killed and paused, executors that reset, cut and
# leave, a worker out of reach, store outage and lost answers, a graceful
# shutdown under load.
: "${BIN:?}" "${CUSTOMER:=kreidefeld}" "${BASE:=22000}"
RUN=$(mktemp -d)
. "$(dirname "$0")/../scripts/cluster.sh"
finish() {
    cluster_stop
    rm -rf "$RUN"
}
trap finish EXIT
cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS
"$BIN/nutmegctl" apply --wait "$(dirname "$0")/../examples/$CUSTOMER.ini" ||
    exit 1
wait_ready "${HOST_OPS[@]}" || exit 1

killed="${DATACENTRES[0]}-0"
paused="${DATACENTRES[1]}-0"
stopped="${DATACENTRES[2]}-0"
store="http://127.0.0.1:$STORE_PORT/admin"
executor="http://127.0.0.1"

"$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
    --duration-s 24 --threads 96 --rate 500 --orders 30 --repeats 30 \
    --mortal "${HOST_CALLER[$killed]},${HOST_CALLER[$paused]}" \
    --log "$RUN/calls.jsonl" >"$RUN/summary" &
load=$!
sleep 1
for mode in reset-before reset-after cut slow; do
    port=$(($(executor_port 0) + i++))
    http_post "$executor:$port/admin?mode=$mode&percent=10"
done
sleep 1
kill -9 "${HOST_PID[$killed]}"
sleep 2
start_host "$killed"
kill -STOP "${HOST_PID[$paused]}"
http_post "http://127.0.0.1:$(platform_port 0)/admin?worker=5&mode=dead"
sleep 4
kill -CONT "${HOST_PID[$paused]}"
http_post "$store?mode=down"
http_post "http://127.0.0.1:$(platform_port 1)/admin?executor=1&mode=leaving"
sleep 4
http_post "$store?mode=lose"
sleep 4
http_post "$store?mode=ok"
kill -TERM "${HOST_PID[$stopped]}"
wait "${HOST_PID[$stopped]}"
stop_status=$?
sleep 1
start_host "$stopped"
wait "$load"
cat "$RUN/summary"
http_post "http://127.0.0.1:$(platform_port 0)/admin?worker=5&mode=ok"
sleep 3
"$BIN/nutmegctl" status
grep -q '"event":"leaving"' "$RUN"/tasks-*.jsonl || exit 1
"$BIN/check_history" "$RUN"/*.jsonl
status=$?
[ -n "${KEEP:-}" ] && cp -r "$RUN" "$KEEP"
for ((d = 0; d < DC_COUNT; d++)); do
    for ((e = 0; e < EXECUTORS_PER_DC; e++)); do
        curl -s -m 5 "$executor:$(($(executor_port "$d") + e))/admin"
    done
done
if [ "$stop_status" -ne 0 ]; then
    echo "graceful shutdown ended with status $stop_status"
    status=1
fi
exit "$status"
