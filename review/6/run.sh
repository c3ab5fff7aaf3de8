#!/bin/bash
# Case 6: two scheduled submissions end each owner of the workers in turn.
# Usage and exit status: see the issue; with TROUBLE=0 the two are due 10
# times each, instead of 10,000 times.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../rig-2/common.sh"

memory_mb=260 # limits.memoryMb of the settings
times=$((trouble ? 10000 : 10))
kills=0
peak_kb=0
ordinary=5c0e7a21d94b36f8
second=00a1b2c3d4e5f607

# The platform: kills a process that exceeds its memory, and starts it again.
watch_memory() {
    local until=$((SECONDS + $1)) kb
    while ((SECONDS < until)); do
        for ((i = 1; i <= hosts; i++)); do
            kb=$(awk '/^VmRSS/ { print $2 }' "/proc/${host_pids[i]}/status" \
                2>/dev/null)
            kb=${kb:-0}
            peak_kb=$((kb > peak_kb ? kb : peak_kb))
            if ((kb > memory_mb * 1024)); then
                note "host $i has $kb kB, over $memory_mb MB: it is killed"
                kill -KILL "${host_pids[i]}"
                wait "${host_pids[i]}" 2>/dev/null
                kills=$((kills + 1))
                sleep 0.5
                start_host "$i"
            fi
        done
        sleep 0.05
    done
}

# submit NUMBER ID BODY
submit() {
    local answer
    answer=$(call "$1" POST check.example "/availcheck/$2" "$3")
    note "$2 is answered $answer"
    [ "${answer%% *}" = 200 ]
}

start_store
for i in 0 1 2 3 4 5 6 7; do
    start_worker w$i
done
put_config 3 r-check,check.example,/availcheck/
start_hosts
one='{"spec":"work=500","steps":[{"count":1,"cpu":1000,"memMb":2000,"estimateMs":500}]}'
submit 1 $ordinary "$one" || finish 2 "the first submission is not accepted"
watch_memory 3
grep -q "$ordinary.0.0.0 run 1 ends done" "$record" ||
    finish 2 "the first submission did not run"

# Each minute for a week, from an hour from now on: nothing is due here.
start=$(($(date +%s) * 1000 + 3600000))
weekly='{"spec":"work=500","steps":[{"count":20,"cpu":1000,"memMb":2000,"estimateMs":500}],"repeatCount":'$times',"startAtMs":'$start',"intervalMs":60000}'
submit 1 aaaaaaaaaaaaaaa1 "$weekly" || finish 0 "held: the first is refused"
submit 2 aaaaaaaaaaaaaaa2 "$weekly" || finish 0 "held: the second is refused"
watch_memory 10

# What is accepted from now on: on each host, until one takes it.
accepted=0
for attempt in 1 2 3 4 5 6; do
    submit $((attempt % hosts + 1)) $second "$one" && accepted=1 && break
    watch_memory 1
done
watch_memory 40
state=
for ((i = 1; i <= hosts; i++)); do
    state+="$(call "$i" GET check.example /availcheck/$second) "
done
ran=$(grep -c "$second.0.0.0 run .* ends done" "$record")
note "$kills kills, peak $peak_kb kB, accepted $accepted, ran $ran, $state"
if ((kills >= 3 || (accepted && !ran))); then
    finish 1 "LOST, Fault: $kills processes ended by their memory; the submission after that: accepted $accepted, ran $ran, $state"
fi
finish 0 "held: peak $peak_kb kB, $kills kills, ran $ran, $state"
