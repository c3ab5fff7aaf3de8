#!/bin/bash
# Tests settings with real processes, whose peer connections use CURVE keys:
# invalid declarations, concurrent changes, lost store responses, a store
# outage, an entry host that gets its settings from a peer, and a data centre
# that continues to serve while it reaches neither the store nor the other
# data centre.
#
#     BIN=build tests/process_settings.sh
#
# BIN is the build folder.  CUSTOMER (default kreidefeld) and BASE (first
# port, default 24000) are optional.  Exit status: 0 if all checks passed,
# non-zero otherwise; a line "FAILED: ..." names the check that failed.
: "${BIN:?}" "${CUSTOMER:=kreidefeld}" "${BASE:=24000}"
root=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(mktemp -d)
DC_COUNT=2
. "$root/scripts/cluster.sh"
clean_up() {
    cluster_stop
    rm -rf "$RUN"
}
trap clean_up EXIT
fail() {
    echo "FAILED: $*"
    exit 1
}
PEER_KEY_FILE=$RUN/peer-keys
"$BIN/nutmegctl" peer-keys >"$PEER_KEY_FILE" || fail "nutmegctl peer-keys"
cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS
nutmegctl="$BIN/nutmegctl"
store_admin="$NUTMEGCTL_STORE/admin"
settings_file="$RUN/tree.ini"
cp "$root/examples/$CUSTOMER.ini" "$settings_file"

"$nutmegctl" apply --wait "$settings_file" ||
    fail "first apply --wait of $settings_file"
wait_ready "${HOST_OPS[@]}" || fail "an entry host is not ready"
revision_of() {
    curl -s -m 3 "http://$1/-/status" | grep -o '"revision":[0-9]*' |
        head -1 | cut -d: -f2
}

# Samples the revision in force on the hosts that this test does not kill.
sample_revisions() {
    while sleep 0.1; do
        for host in "${HOST_OPS[${DATACENTRES[0]}-0]}" \
            "${HOST_OPS[${DATACENTRES[1]}-0]}"; do
            echo "$host $(revision_of "$host")"
        done
    done
}
sample_revisions >"$RUN/revisions" 2>/dev/null &
register_pid $!

# An apply with an invalid declaration is rejected as a whole; the error names
# the file, section and key.
printf '[%s/x]\nkind = batch\ntasks = many\n' "$CUSTOMER" >"$RUN/bad.ini"
"$nutmegctl" apply "$settings_file" "$RUN/bad.ini" 2>"$RUN/err" &&
    fail "invalid declaration accepted"
grep -q "\[$CUSTOMER/x\] tasks" "$RUN/err" ||
    fail "error does not name [$CUSTOMER/x] tasks"

# A change reaches every host; applying it again changes nothing, and an
# apply to an old revision is rejected.
sed -i 's/timeout_ms = 2000/timeout_ms = 1500/' "$settings_file"
"$nutmegctl" apply --wait "$settings_file" || fail "apply of timeout_ms = 1500"
"$nutmegctl" apply "$settings_file" | grep -q "nothing to change" ||
    fail "repeated apply is a change"
"$nutmegctl" apply --revision 1 "$settings_file" 2>/dev/null &&
    fail "apply to old revision 1 accepted"

# Two concurrent changes to the same revision: exactly one is applied.
for round in 1 2 3; do
    for operator in a b; do
        sed "s/timeout_ms = 1500/timeout_ms = 1$round$((16#$operator))0/" \
            "$settings_file" >"$RUN/$operator.ini"
        "$nutmegctl" apply --revision $((round + 1)) "$RUN/$operator.ini" \
            >"$RUN/$operator.out" 2>&1 &
        eval "pid_$operator=$!"
    done
    applied=0
    wait "$pid_a" && applied=$((applied + 1))
    wait "$pid_b" && applied=$((applied + 1))
    [ "$applied" -eq 1 ] ||
        fail "round $round: $applied of 2 changes applied, expected 1"
done

# Store responses are lost after the change took effect: it is applied once.
http_post "$store_admin?mode=lose"
sed -i 's/timeout_ms = 1500/timeout_ms = 1700/' "$settings_file"
for attempt in 1 2 3; do
    "$nutmegctl" apply "$settings_file" >"$RUN/out" 2>&1 && break
done
http_post "$store_admin?mode=ok"
# The output goes to a file: a pipe that closes early would end the wait for
# all hosts.
"$nutmegctl" apply --wait "$settings_file" >"$RUN/out" ||
    fail "timeout_ms = 1700 is not in force on all hosts"
grep -q "revision 6" "$RUN/out" ||
    fail "not revision 6 after lost store responses"

# Store outage: the hosts continue to serve, and a restarted host gets its
# settings from a peer.
http_post "$store_admin?mode=down"
sleep 3
first_host="${DATACENTRES[0]}-0"
second_host="${DATACENTRES[0]}-1"
kill -9 "${HOST_PID[$second_host]}"
sleep 0.5
start_host "$second_host"
wait_ready "${HOST_OPS[$second_host]}" ||
    fail "$second_host is not ready with settings from a peer"
[ "$(revision_of "${HOST_OPS[$second_host]}")" = 6 ] ||
    fail "$second_host is not at revision 6"
"$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
    --duration-s 4 --threads 16 --rate 200 --log "$RUN/calls.jsonl" \
    >"$RUN/summary"
cat "$RUN/summary"
requests=$(awk '{print $2}' "$RUN/summary")
served=$(awk '{print $4}' "$RUN/summary")
[ "$served" -ge $((requests * 99 / 100)) ] ||
    fail "store outage: served $served of $requests, bound 99 %"

# The other data centre is unresponsive as well: the local hosts serve.
reachable_callers="${HOST_CALLER[$first_host]},${HOST_CALLER[$second_host]}"
for ((h = 0; h < HOSTS_PER_DC; h++)); do
    kill -STOP "${HOST_PID[${DATACENTRES[1]}-$h]}"
done
sleep 7
"$BIN/load_callers" --targets "$reachable_callers" --path "$SERVICE_PATH" \
    --name cut --duration-s 4 --threads 16 --rate 200 \
    --log "$RUN/calls.jsonl" >"$RUN/summary"
cat "$RUN/summary"
requests=$(awk '{print $2}' "$RUN/summary")
served=$(awk '{print $4}' "$RUN/summary")
[ "$served" -ge $((requests * 99 / 100)) ] ||
    fail "data centre cut off: served $served of $requests, bound 99 %"
for ((h = 0; h < HOSTS_PER_DC; h++)); do
    kill -CONT "${HOST_PID[${DATACENTRES[1]}-$h]}"
done

# The store recovers: the next change continues from revision 6.
http_post "$store_admin?mode=ok"
sed -i 's/timeout_ms = 1700/timeout_ms = 1800/' "$settings_file"
"$nutmegctl" apply --wait "$settings_file" || fail "apply after the outage"
for host in "${HOST_OPS[@]}"; do
    [ "$(revision_of "$host")" = 7 ] || fail "$host is not at revision 7"
done
awk 'NF == 2 { if ($2 < last[$1]) bad = 1; last[$1] = $2 + 0; n++ }
    END { exit bad || n < 20 }' "$RUN/revisions" ||
    fail "a revision decreased, or fewer than 20 samples"
"$nutmegctl" explain "$SERVICE" | grep -q "timeout_ms *1800" ||
    fail "explain $SERVICE does not show timeout_ms 1800"
kill -TERM "${HOST_PID[$first_host]}"
wait "${HOST_PID[$first_host]}" || fail "graceful shutdown of $first_host"
"$BIN/check_history" "$RUN"/*.jsonl || fail "history check"
echo "settings test passed"
