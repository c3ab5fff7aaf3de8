#!/bin/bash
# Benchmarks real processes: latency through the entry hosts relative to
# direct calls of the executors, processor time per request, cost of an idle
# entry host, the time until a data centre is ready after all its entry hosts
# were replaced, and the time of a takeover after the owner was killed.
#
#     BIN=build bench/processes.sh
#
# BIN is the build folder.  SEED of the load (default 1) and CUSTOMER (default
# kreidefeld) are optional.  Lines with "#" are information; "bench" lines, as
# in bench/run.sh, compare a value with its bound.  Exit status: 0 if all
# values are within their bounds, non-zero otherwise.
: "${BIN:?}" "${SEED:=1}"
root=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(mktemp -d)
BASE=25000
DC_COUNT=1
. "$root/scripts/cluster.sh"
clean_up() {
    cluster_stop
    rm -rf "$RUN"
}
trap clean_up EXIT
status=0
report() { # NAME VALUE RELATION BOUND
    local verdict=fail
    awk "BEGIN { exit !($2 $3 $4) }" && verdict=pass
    [ "$verdict" = pass ] || status=1
    echo "bench $1 value=$2 bound=$3$4 $verdict"
}
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
summary_field() { awk -v name="$1" '{for (i = 1; i < NF; i++) if ($i == name) print $(i + 1)}' "$2"; }
counter() { curl -s "http://$1/-/counters" | awk -v n="nutmegdeck_$2_total" '$1 == n {print $2}'; }

cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS
"$BIN/nutmegctl" apply --wait "$root/examples/$CUSTOMER.ini" >/dev/null || exit 1
wait_ready "${HOST_OPS[@]}" || exit 1
first_host="${DATACENTRES[0]}-0"
second_host="${DATACENTRES[0]}-1"
sleep 8

# Cost of an idle entry host: processor time, peer traffic and memory.
ticks_before=$(cpu_ticks "${HOST_PID[$first_host]}")
bytes=$(counter "${HOST_OPS[$first_host]}" peer_bytes_sent)
sleep 5
ticks=$(($(cpu_ticks "${HOST_PID[$first_host]}") - ticks_before))
bytes=$(($(counter "${HOST_OPS[$first_host]}" peer_bytes_sent) - bytes))
echo "# idle owner: $(awk "BEGIN {print $ticks / 5}")% of a core, $((bytes / 5)) bytes/s to 1 peer, $(memory_kb "${HOST_PID[$first_host]}") KB"

# Half of the capacity of 3200 requests/s: 4 executors with 8 slots, 10 ms a
# request.  The second round is the one that is reported.  A tick of processor
# time is 10 ms.
rate=1600
executors=
for ((e = 0; e < EXECUTORS_PER_DC; e++)); do
    executors+="${executors:+,}127.0.0.1:$(($(executor_port 0) + e))"
done
for round in 1 2; do
    "$BIN/load_callers" --targets "$executors" --path "$SERVICE_PATH" \
        --duration-s 6 --threads 128 --rate $rate --seed "$SEED" \
        >"$RUN/direct"
    ticks_before=$(cpu_ticks "${HOST_PID[$first_host]}")
    responses=$(counter "${HOST_OPS[$first_host]}" answers)
    "$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
        --duration-s 6 --threads 128 --rate $rate --seed "$SEED" \
        >"$RUN/through"
    ticks=$(($(cpu_ticks "${HOST_PID[$first_host]}") - ticks_before))
    responses=$(($(counter "${HOST_OPS[$first_host]}" answers) - responses))
done
echo "# direct:  $(sed 's/ statuses.*//' "$RUN/direct")"
echo "# through: $(sed 's/ statuses.*//' "$RUN/through")"
request_us=$(awk "BEGIN {printf \"%.0f\", $ticks * 10000 / $responses}")
echo "# processor time a request: $request_us us; memory $(memory_kb "${HOST_PID[$first_host]}") KB"
ratio=$(awk "BEGIN {printf \"%.3f\", $(summary_field p99_ms "$RUN/through") / $(summary_field p99_ms "$RUN/direct")}")
report process-p99-against-direct "$ratio" "<=" 1.3

# All entry hosts of the data centre are replaced at once.
kill -9 "${HOST_PID[$first_host]}" "${HOST_PID[$second_host]}"
start_ns=$(date +%s%N)
start_host "$first_host"
start_host "$second_host"
wait_ready "${HOST_OPS[@]}" || status=1
elapsed_ms=$((($(date +%s%N) - start_ns) / 1000000))
echo "# all entry hosts replaced: ready after $elapsed_ms ms"
# The bound is the sum of the term and margin of the lost grants and of the
# longest request.
report process-replaced-serves-ms "$elapsed_ms" "<=" 15000

# Time from the end of the owner until the other entry host owns the shard.
sleep 2
for id in "$first_host" "$second_host"; do
    if curl -s "http://${HOST_OPS[$id]}/-/status" | grep -q '"phase":"active"'; then
        owner_host=$id
    else
        other_host=$id
    fi
done
kill -9 "${HOST_PID[$owner_host]}"
start_ns=$(date +%s%N)
until curl -s "http://${HOST_OPS[$other_host]}/-/status" | grep -q '"phase":"active"'; do
    sleep 0.05
done
elapsed_ms=$((($(date +%s%N) - start_ns) / 1000000))
echo "# owner killed: the next one is active after $elapsed_ms ms"
report process-takeover-ms "$elapsed_ms" "<=" 5700
exit "$status"
