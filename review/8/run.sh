#!/bin/bash
# Case 8: a lasting submission is given up because its executor crashed.
# Usage and exit status: see the issue; TROUBLE=0 leaves out the crashes.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../rig-2/common.sh"

id=5c0e7a21d94b36f8
path=/kitwatch/$id
start_store
for i in 0 1 2 3 4 5 6; do
    start_worker w$i
done
start_worker w7 kiosk # the only one with this label
put_config 3 r-watch,watch.example,/kitwatch/
start_hosts
answer=$(call 1 POST watch.example $path '{"spec":"lasts","steps":[{"count":1,"cpu":13000,"memMb":26000,"estimateMs":500,"longRunning":true,"requiredLabel":"kiosk"}]}')
[ "${answer%% *}" = 200 ] || finish 2 "the submission was answered $answer"

# One of eight executors goes down and up, by the clock alone.
crashes=0
while ((trouble && crashes < 8)); do
    sleep 1.2
    crash_worker w7
    sleep 1.0
    start_worker w7
    crashes=$((crashes + 1))
done

# The executor is sound again, and stays so.
sleep 20
states=
for ((i = 1; i <= hosts; i++)); do
    states+="$(call $i GET watch.example $path) "
done
running=$(grep -c "w7: $id.* starts" "$record")
failed=$(grep -c "ends failed" "$record")
note "$running starts, $failed ends failed"
case $states in
*failed* | *cancelled* | *410*)
    finish 1 "LOST: $states after $crashes crashes and $failed ends failed"
    ;;
*running*running*running*) finish 0 "held: $states after $crashes crashes" ;;
esac
finish 2 "unclear: $states"
