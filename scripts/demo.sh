#!/bin/bash
# Two regions on loopback with faults on the way: scripts/demo.sh CUSTOMER.
# Prints a short table; status 1 if a promise broke.
CUSTOMER=${1:-kreidefeld}
root=$(cd "$(dirname "$0")/.." && pwd)
BIN=${BIN:-$root/build}
RUN=$(mktemp -d)
BASE=${BASE:-23000}
. "$root/scripts/cluster.sh"
finish() {
    cluster_stop
    rm -rf "$RUN"
}
trap finish EXIT
say() { printf '\n== %s\n' "$*"; }

say "start: store, 3 data centres in 2 regions, $((DC_COUNT * HOSTS_PER_DC)) entry hosts"
cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS

say "apply examples/$CUSTOMER.ini"
"$BIN/nutmegctl" plan "$root/examples/$CUSTOMER.ini" | head -8
"$BIN/nutmegctl" apply --wait "$root/examples/$CUSTOMER.ini" || exit 1
wait_ready "${HOST_OPS[@]}" || exit 1

killed="${DATACENTRES[0]}-0"
stopped="${DATACENTRES[1]}-0"
gone=$(($(executor_port 0) + 1))
say "callers: checks and orders for 14 s"
"$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
    --duration-s 14 --threads 48 --rate 500 --orders 25 --repeats 25 \
    --mortal "${HOST_CALLER[$killed]}" --log "$RUN/calls.jsonl" \
    >"$RUN/summary" &
load=$!
sleep 2
say "a worker leaves: its tasks are checkpointed and resume elsewhere"
http_post "http://127.0.0.1:$(platform_port 0)/admin?worker=1&mode=leaving"
sleep 1
say "kill -9 entry host $killed, the owner of its data centre"
kill -9 "${HOST_PID[$killed]}"
sleep 2
say "the executor on port $gone dies"
http_post "http://127.0.0.1:$gone/admin?mode=gone"
sleep 2
say "graceful shutdown of entry host $stopped"
kill -TERM "${HOST_PID[$stopped]}"
wait "${HOST_PID[$stopped]}" 2>/dev/null
echo "it ended with status $?"
start_host "$killed"
wait "$load"
sleep 3

say "status"
"$BIN/nutmegctl" status
say "result"
sed 's/ statuses.*//' "$RUN/summary"
"$BIN/check_history" "$RUN"/*.jsonl
status=$?
done_tasks=$(grep -h '"event":"done"' "$RUN"/tasks-*.jsonl | wc -l)
echo "batch tasks done: $done_tasks of 50"
[ "$done_tasks" -eq 50 ] || status=1
[ "$status" -eq 0 ] && echo "every promise was kept" ||
    echo "a promise broke"
exit "$status"
