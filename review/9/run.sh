#!/bin/bash
# Case 9: ends on an executor are never taken note of, and jobs never end.
# Usage and exit status: see the issue; with TROUBLE=0 the checkpoint of the
# task that fails is as long as the one in the example of the pages.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../rig-2/common.sh"

fails=5c0e7a21d94b36f8
later=00a1b2c3d4e5f607
bytes=$((trouble ? 160 : 16))

# submit ID SPEC STEPS
submit() {
    local answer
    answer=$(call 1 POST check.example "/availcheck/$1" "{\"spec\":\"$2\",\"steps\":[$3]}")
    [ "${answer%% *}" = 200 ] || finish 2 "$1 was answered $answer"
}

start_store
start_worker w0 kiosk # the only one with this label
for i in 1 2 3 4 5 6 7; do
    start_worker w$i
done
put_config 3 r-check,check.example,/availcheck/
start_hosts

# A task that saves its progress fails once, after 2.5 s of work.
submit $fails "work=2500 saved=$bytes fails once" '{"count":1,"cpu":1000,"memMb":2000,"estimateMs":2500,"checkpoints":true,"requiredLabel":"kiosk"}'
sleep 6
# Ordinary work there after that, which saves nothing: two steps.
submit $later "work=500" '{"count":4,"cpu":1000,"memMb":2000,"estimateMs":500,"requiredLabel":"kiosk"},{"count":1,"cpu":1000,"memMb":2000,"estimateMs":500,"after":[0]}'
sleep 30

done_tasks=$(grep -c "$later.0.0.* ends done" "$record")
dependent=$(grep -c "$later.0.1.0 run .* starts" "$record")
states=
for id in $fails $later; do
    states+="$(call 2 GET check.example /availcheck/$id) "
done
note "$done_tasks of 4 tasks of the first step are done, the second started $dependent times, $states"
case $states in
*completed*completed*) finish 0 "held: $states" ;;
esac
((done_tasks >= 4 && dependent == 0)) && finish 1 "LOST: the second step has not started 25 s after the first was done; $states"
finish 2 "unclear: $states"
