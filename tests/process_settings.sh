#!/bin/bash
# Settings through real processes: races, lost answers, a store outage, a
# new entry host that gets its settings from a peer, bad declarations, and
# a data centre that is cut off from the store and from the other one and
# goes on serving; peers talk under CURVE keys.
: "${BIN:?}" "${CUSTOMER:=kreidefeld}" "${BASE:=24000}"
root=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(mktemp -d)
DC_COUNT=2
. "$root/scripts/cluster.sh"
finish() {
    cluster_stop
    rm -rf "$RUN"
}
trap finish EXIT
fail() {
    echo "FAILED: $*"
    exit 1
}
PEER_KEY_FILE=$RUN/peer-keys
"$BIN/nutmegctl" peer-keys >"$PEER_KEY_FILE" || fail "no keys"
cluster_start
export NUTMEGCTL_STORE=http://127.0.0.1:$STORE_PORT
NUTMEGCTL_HOSTS=$(all_ops)
export NUTMEGCTL_HOSTS
ctl="$BIN/nutmegctl"
store="$NUTMEGCTL_STORE/admin"
ini="$RUN/tree.ini"
cp "$root/examples/$CUSTOMER.ini" "$ini"

"$ctl" apply --wait "$ini" || fail "first apply"
wait_ready "${HOST_OPS[@]}" || fail "not ready"
revision_of() {
    curl -s -m 3 "http://$1/-/status" | grep -o '"revision":[0-9]*' |
        head -1 | cut -d: -f2
}

# Samples the revision in force on the hosts that are not replaced.
sample_revisions() {
    while sleep 0.1; do
        for host in "${HOST_OPS[${DATACENTRES[0]}-0]}" \
            "${HOST_OPS[${DATACENTRES[1]}-0]}"; do
            echo "$host $(revision_of "$host")"
        done
    done
}
sample_revisions >"$RUN/revisions" 2>/dev/null &
started $!

# Bad declarations are refused as a whole, with file, section and key.
printf '[%s/x]\nkind = batch\ntasks = many\n' "$CUSTOMER" >"$RUN/bad.ini"
"$ctl" apply "$ini" "$RUN/bad.ini" 2>"$RUN/err" && fail "bad input accepted"
grep -q "\[$CUSTOMER/x\] tasks" "$RUN/err" || fail "no clear error"

# A change is in force everywhere, and applying it again changes nothing.
sed -i 's/timeout_ms = 2000/timeout_ms = 1500/' "$ini"
"$ctl" apply --wait "$ini" || fail "second apply"
"$ctl" apply "$ini" | grep -q "nothing to change" || fail "not idempotent"
"$ctl" apply --revision 1 "$ini" 2>/dev/null && fail "stale plan accepted"

# Two operators race: exactly one of each round wins.
for round in 1 2 3; do
    for op in a b; do
        sed "s/timeout_ms = 1500/timeout_ms = 1$round$((16#$op))0/" "$ini" \
            >"$RUN/$op.ini"
        "$ctl" apply --revision $((round + 1)) "$RUN/$op.ini" \
            >"$RUN/$op.out" 2>&1 &
        eval "pid_$op=$!"
    done
    wins=0
    wait "$pid_a" && wins=$((wins + 1))
    wait "$pid_b" && wins=$((wins + 1))
    [ "$wins" -eq 1 ] || fail "round $round: $wins operators won"
done

# Answers are lost after the change took effect: applied once.
http_post "$store?mode=lose"
sed -i 's/timeout_ms = 1500/timeout_ms = 1700/' "$ini"
for try in 1 2 3; do
    "$ctl" apply "$ini" >"$RUN/out" 2>&1 && break
done
http_post "$store?mode=ok"
# The whole output is read, so that apply waits until all hosts have it.
"$ctl" apply --wait "$ini" >"$RUN/out" || fail "not in force"
grep -q "revision 6" "$RUN/out" || fail "lost answer"

# Store outage: serving goes on, and a new host learns from its peer.
http_post "$store?mode=down"
sleep 3
first="${DATACENTRES[0]}-0"
second="${DATACENTRES[0]}-1"
kill -9 "${HOST_PID[$second]}"
sleep 0.5
start_host "$second"
wait_ready "${HOST_OPS[$second]}" || fail "no settings from the peer"
[ "$(revision_of "${HOST_OPS[$second]}")" = 6 ] || fail "wrong revision"
"$BIN/load_callers" --targets "$(all_callers)" --path "$SERVICE_PATH" \
    --duration-s 4 --threads 16 --rate 200 --log "$RUN/calls.jsonl" \
    >"$RUN/summary"
cat "$RUN/summary"
requests=$(awk '{print $2}' "$RUN/summary")
served=$(awk '{print $4}' "$RUN/summary")
[ "$served" -ge $((requests * 99 / 100)) ] || fail "checks were refused"

# The other data centre is cut off as well: what is in reach is served.
here="${HOST_CALLER[$first]},${HOST_CALLER[$second]}"
for ((h = 0; h < HOSTS_PER_DC; h++)); do
    kill -STOP "${HOST_PID[${DATACENTRES[1]}-$h]}"
done
sleep 7
"$BIN/load_callers" --targets "$here" --path "$SERVICE_PATH" --name cut \
    --duration-s 4 --threads 16 --rate 200 --log "$RUN/calls.jsonl" \
    >"$RUN/summary"
cat "$RUN/summary"
requests=$(awk '{print $2}' "$RUN/summary")
served=$(awk '{print $4}' "$RUN/summary")
[ "$served" -ge $((requests * 99 / 100)) ] || fail "cut off, not served"
for ((h = 0; h < HOSTS_PER_DC; h++)); do
    kill -CONT "${HOST_PID[${DATACENTRES[1]}-$h]}"
done

# The store comes back: revisions go on from where they were.
http_post "$store?mode=ok"
sed -i 's/timeout_ms = 1700/timeout_ms = 1800/' "$ini"
"$ctl" apply --wait "$ini" || fail "apply after the outage"
for host in "${HOST_OPS[@]}"; do
    [ "$(revision_of "$host")" = 7 ] || fail "$host is behind"
done
awk 'NF == 2 { if ($2 < last[$1]) bad = 1; last[$1] = $2 + 0; n++ }
    END { exit bad || n < 20 }' "$RUN/revisions" || fail "a revision went back"
"$ctl" explain "$SERVICE" | grep -q "timeout_ms *1800" || fail "explain"
kill -TERM "${HOST_PID[$first]}"
wait "${HOST_PID[$first]}" || fail "graceful shutdown"
"$BIN/check_history" "$RUN"/*.jsonl || fail "history"
echo "settings kept"
