#!/bin/bash
# Benchmarks through real processes: latency against going to the executors
# directly, processor time a request, idle control cost, and the time until
# a data centre serves again after all its entry hosts were replaced.
: "${BIN:?}" "${SEED:=1}"
root=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(mktemp -d)
BASE=25000
DC_COUNT=1
. "$root/scripts/cluster.sh"
finish() {
    cluster_stop
    rm -rf "$RUN"
}
trap finish EXIT
status=0
report() { # NAME VALUE RELATION BOUND
    local verdict=fail
    awk "BEGIN { exit !($2 $3 $4) }" && verdict=pass
    [ "$verdict" = pass ] || status=1
    echo "bench $1 value=$2 bound=$3$4 $verdict"
}
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
field() { awk -v name="$1" '{for (i = 1; i < NF; i++) if ($i == name) print $(i + 1)}' "$2"; }
counter() { curl -s "http://$1/-/counters" | awk -v n="nutmegdeck_$2_total" '$1 == n {print $2}'; }

cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS
"$BIN/nutmegctl" apply --wait "$root/examples/$CUSTOMER.ini" >/dev/null || exit 1
wait_ready "${HOST_OPS[@]}" || exit 1
first="${DATACENTRES[0]}-0"
second="${DATACENTRES[0]}-1"
sleep 8

# Idle: what control costs an entry host.
before=$(cpu_ticks "${HOST_PID[$first]}")
bytes=$(counter "${HOST_OPS[$first]}" peer_bytes_sent)
sleep 5
ticks=$(($(cpu_ticks "${HOST_PID[$first]}") - before))
bytes=$(($(counter "${HOST_OPS[$first]}" peer_bytes_sent) - bytes))
echo "# idle owner: $(awk "BEGIN {print $ticks / 5}")% of a core, $((bytes / 5)) bytes/s to 1 peer, $(memory_kb "${HOST_PID[$first]}") KB"

# Half of the capacity: 4 executors with 8 slots, 10 ms each.
rate=1600
targets=
for ((e = 0; e < EXECUTORS_PER_DC; e++)); do
    targets+="${targets:+,}127.0.0.1:$(($(executor_port 0) + e))"
done
for pass in 1 2; do
    "$BIN/load_callers" --targets "$targets" --path "$SERVICE_PATH" \
        --duration-s 6 --threads 128 --rate $rate --seed "$SEED" \
        >"$RUN/direct"
    before=$(cpu_ticks "${HOST_PID[$first]}")
    answered=$(counter "${HOST_OPS[$first]}" answers)
    "$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
        --duration-s 6 --threads 128 --rate $rate --seed "$SEED" \
        >"$RUN/through"
    ticks=$(($(cpu_ticks "${HOST_PID[$first]}") - before))
    answered=$(($(counter "${HOST_OPS[$first]}" answers) - answered))
done
echo "# direct:  $(sed 's/ statuses.*//' "$RUN/direct")"
echo "# through: $(sed 's/ statuses.*//' "$RUN/through")"
us=$(awk "BEGIN {printf \"%.0f\", $ticks * 10000 / $answered}")
echo "# processor time a request: $us us; memory $(memory_kb "${HOST_PID[$first]}") KB"
ratio=$(awk "BEGIN {printf \"%.3f\", $(field p99_ms "$RUN/through") / $(field p99_ms "$RUN/direct")}")
report process-p99-against-direct "$ratio" "<=" 1.3

# All entry hosts of the data centre are replaced at once.
kill -9 "${HOST_PID[$first]}" "${HOST_PID[$second]}"
start=$(date +%s%N)
start_host "$first"
start_host "$second"
wait_ready "${HOST_OPS[@]}" || status=1
ms=$((($(date +%s%N) - start) / 1000000))
echo "# all entry hosts replaced: ready after $ms ms"
# The longest term, margin and request of the grants that were lost.
report process-replaced-serves-ms "$ms" "<=" 15000

# The owner dies: until the other entry host owns the shard.
sleep 2
for id in "$first" "$second"; do
    if curl -s "http://${HOST_OPS[$id]}/-/status" | grep -q '"phase":"active"'; then
        owner=$id
    else
        other=$id
    fi
done
kill -9 "${HOST_PID[$owner]}"
start=$(date +%s%N)
until curl -s "http://${HOST_OPS[$other]}/-/status" | grep -q '"phase":"active"'; do
    sleep 0.05
done
ms=$((($(date +%s%N) - start) / 1000000))
echo "# owner killed: the next one is active after $ms ms"
report process-takeover-ms "$ms" "<=" 5700
exit "$status"
