#!/bin/bash
# Case 7: a task runs again after its end `done` was taken note of.
# Usage and exit status: see the issue; TROUBLE=0 leaves out the disruptions.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../rig-2/common.sh"

first=5c0e7a21d94b36f8
second=00a1b2c3d4e5f607
start_store
for i in 0 1 2 3 4 5 6; do
    start_worker w$i
done
start_worker w7 kiosk # the only one with this label
put_config 3 r-check,check.example,/availcheck/
start_hosts

# submit ID WORK_MS COUNT [LABEL]
submit() {
    local label=${4:+,\"requiredLabel\":\"$4\"} answer
    answer=$(call 1 POST check.example "/availcheck/$1" "{\"spec\":\"work=$2\",\"steps\":[{\"count\":$3,\"cpu\":1000,\"memMb\":2000,\"estimateMs\":$2$label}]}")
    [ "${answer%% *}" = 200 ] || finish 2 "$1 was answered $answer"
}

# wait_for PATTERN: until the record has such a line.
wait_for() {
    for _ in $(seq 400); do
        grep -q "$1" "$record" && return
        sleep 0.02
    done
    finish 2 "not seen: $1"
}

# Other work, so that two orders are a small part of all.
submit 1111111111111111 500 70 a
submit 2222222222222222 3000 14 a
swallowed_ack=$record.w7./hold.call
((trouble)) && echo acks >"$record.w7.hold.swallow"
submit $first 300 1 kiosk
wait_for "w7: $first.0.0.0 run 1 ends done"
if ((trouble)); then
    # The hold that acknowledges this end gets no answer.
    wait_for "w7: /hold .* is left unanswered"
    acked_at=$($rig now)
    mv "$record.w7.hold.call" "$temporary/ack"
    crash_worker w7
    sleep 0.8
    start_worker w7
fi
sleep 1.5
submit 3333333333333333 500 70 a
# The look at the executor after the start gets no answer either.
((trouble)) && echo any >"$record.w7.hold.swallow"
submit $second 700 1 kiosk
wait_for "w7: $second.0.0.0 run .* ends done"
if ((trouble)); then
    note "the first hold is $(($($rig now) - acked_at)) ms old"
    $rig late w7 "${worker_port[w7]}" /hold "$temporary/ack" "$record"
fi
sleep 12

rm -f "$record".*.swallow "$record".*.call
starts=$(grep -c "$second.0.0.0 run .* starts" "$record")
acked=$(grep -c "end of $second.0.0.0 run 1 is acknowledged" "$record")
state=$(call 2 GET check.example /availcheck/$second)
orders=$(grep -cE "w[0-9]: (.* starts|hold,|.* is to stop)" "$record")
note "$orders orders in all, $starts starts of $second.0.0.0, $state"
((starts > 1)) && finish 1 "TWICE: $second.0.0.0 started $starts times, its end done was acknowledged, $state"
((starts == 1)) && finish 0 "held: one start, $state"
finish 2 "unclear: $starts starts, $acked acknowledged"
