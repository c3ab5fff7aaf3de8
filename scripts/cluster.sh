# Starts and stops a cluster of real processes on loopback.  Sourced by the
# demo, the process tests and the process benchmarks.
#
# cluster_start         starts the store, platforms, executors and entry hosts
# start_host ID         starts one entry host, also to restart it
# wait_ready ADDRESS..  waits until the entry hosts at these addresses are
#                       ready; returns 1 if one is not
# cluster_stop          stops all processes that were started, by process id
# register_pid PID      adds a process that cluster_stop shall stop
# platform_port DC      prints the port of a data centre's platform; DC counts
#                       from 0
# executor_port DC      prints the first port of a data centre's executors
# all_callers, all_ops  print the caller or operations addresses of all entry
#                       hosts, separated by commas
# http_post URL         sends a POST request without a body
#
# Input: BIN (build folder), RUN (scratch folder) and BASE (first port) are
# required.  CUSTOMER, HOSTS_PER_DC, WORKERS_PER_DC, EXECUTORS_PER_DC, MEAN_MS
# (mean service time), DC_COUNT and PEER_KEY_FILE are optional.
#
# Output: HOST_PID, HOST_CALLER, HOST_OPS and HOST_ARGS hold the process id,
# caller address, operations address and flags of each entry host by its id.
#
# An unknown CUSTOMER ends the calling script with status 2.

case "${CUSTOMER:=kreidefeld}" in
kreidefeld)
    DATACENTRES=(graz-nord graz-sued wien-favoriten)
    REGIONS=(steiermark steiermark wien)
    SERVICE=kreidefeld/buchung
    SERVICE_PATH=/buchung
    ;;
hagg)
    DATACENTRES=(sv-sodermalm sv-solna gl-hisingen)
    REGIONS=(svealand svealand gotaland)
    SERVICE=hagg/verkstad
    SERVICE_PATH=/verkstad
    ;;
*)
    echo "unknown customer \"$CUSTOMER\": not kreidefeld or hagg" >&2
    exit 2
    ;;
esac

: "${HOSTS_PER_DC:=2}" "${WORKERS_PER_DC:=8}" "${EXECUTORS_PER_DC:=4}"
: "${MEAN_MS:=10}" "${DC_COUNT:=3}"

STORE_PORT=$BASE
PIDS=()
declare -A HOST_PID HOST_CALLER HOST_OPS HOST_ARGS

platform_port() { echo $((BASE + 10 + $1)); }
executor_port() { echo $((BASE + 100 + $1 * 60)); }

register_pid() {
    PIDS+=("$1")
}

start_host() {
    local id=$1
    # shellcheck disable=SC2086
    "$BIN/nutmegd" ${HOST_ARGS[$id]} 2>>"$RUN/$id.log" &
    HOST_PID[$id]=$!
    register_pid $!
}

peer_flags() {
    local d h id index=0
    for ((d = 0; d < DC_COUNT; d++)); do
        for ((h = 0; h < HOSTS_PER_DC; h++)); do
            id="${DATACENTRES[$d]}-$h"
            printf -- '--peer=%s,%s,%s,127.0.0.1:%d ' "$id" \
                "${DATACENTRES[$d]}" "${REGIONS[$d]}" $((BASE + 80 + index))
            index=$((index + 1))
        done
    done
}

cluster_start() {
    local d h id index=0 peers
    mkdir -p "$RUN"
    "$BIN/standin_store" "$STORE_PORT" &
    register_pid $!
    peers=$(peer_flags)
    for ((d = 0; d < DC_COUNT; d++)); do
        "$BIN/standin_executor" "$(executor_port "$d")" "$EXECUTORS_PER_DC" \
            "$RUN/runs-$d.jsonl" "$MEAN_MS" &
        register_pid $!
        "$BIN/standin_platform" "$(platform_port "$d")" \
            "${DATACENTRES[$d]}" "$WORKERS_PER_DC" "$(executor_port "$d")" \
            "$EXECUTORS_PER_DC" "$SERVICE" "$RUN/tasks-$d.jsonl" &
        register_pid $!
    done
    sleep 0.3
    for ((d = 0; d < DC_COUNT; d++)); do
        for ((h = 0; h < HOSTS_PER_DC; h++)); do
            id="${DATACENTRES[$d]}-$h"
            HOST_CALLER[$id]="127.0.0.1:$((BASE + 20 + index))"
            HOST_OPS[$id]="127.0.0.1:$((BASE + 50 + index))"
            HOST_ARGS[$id]="--id=$id --datacentre=${DATACENTRES[$d]} \
--region=${REGIONS[$d]} --address=127.0.0.1 \
--caller-port=$((BASE + 20 + index)) --ops-port=$((BASE + 50 + index)) \
--peer-port=$((BASE + 80 + index)) --store=http://127.0.0.1:$STORE_PORT \
--hosts=http://127.0.0.1:$(platform_port "$d")/hosts $peers \
${PEER_KEY_FILE:+--peer-key-file=$PEER_KEY_FILE}"
            start_host "$id"
            index=$((index + 1))
        done
    done
}

all_callers() { local IFS=,; echo "${HOST_CALLER[*]}"; }
all_ops() { local IFS=,; echo "${HOST_OPS[*]}"; }

http_post() {
    curl -s -o /dev/null -m 5 -X POST "$1"
}

# Makes up to 400 attempts for each host, 0.1 s apart, so it fails after at
# least 40 s.
wait_ready() {
    local host attempts
    for host in "$@"; do
        for ((attempts = 0; attempts < 400; attempts++)); do
            if [ "$(curl -s -o /dev/null -m 2 -w '%{http_code}' \
                "http://$host/-/ready")" = 200 ]; then
                break
            fi
            sleep 0.1
        done
        if [ "$attempts" -ge 400 ]; then
            echo "host $host is not ready after $attempts attempts" >&2
            return 1
        fi
    done
}

cluster_stop() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill "$pid" 2>/dev/null
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null
    done
    PIDS=()
}
