#!/bin/bash
# Case 8: a task that is away from its data never ends.
# Usage and exit status: see the issue; with TROUBLE=0 the data is in the rack
# of the executor.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../rig-2/common.sh"

id=5c0e7a21d94b36f8
name=$id.0.0.0
estimate_ms=9000 # right beside the data
rack=r1-$((trouble ? 2 : 1))

start_store
start_worker w0 kiosk # the only one with this label, in the rack r1-1
for i in 1 2 3 4 5 6 7; do
    start_worker w$i
done
put_config 3 r-check,check.example,/availcheck/
start_hosts
answer=$(call 1 POST check.example /availcheck/$id '{"spec":"work='$estimate_ms' data='$rack'","steps":[{"count":1,"cpu":1000,"memMb":2000,"estimateMs":'$estimate_ms',"requiredLabel":"kiosk","dataRack":"'$rack'"}]}')
[ "${answer%% *}" = 200 ] || finish 2 "the submission was answered $answer"
sleep 100

# From each end of a run that is not `done` to the next start.
longest=$(grep "w0: $name run" "$record" | awk '
    / ends / { ended = $0 ~ /ends done/ ? 0 : $1 }
    / starts/ { if (ended && $1 - ended > max) max = $1 - ended; ended = 0 }
    END { print max + 0 }')
starts=$(grep -c "w0: $name run .* starts" "$record")
stopped=$(grep -c "w0: $name run .* ends stopped" "$record")
state=$(call 2 GET check.example /availcheck/$id)
note "$starts starts, $stopped ends stopped, longest pause $longest ms, $state"
case $state in
*completed*) finish 0 "held: $state, longest pause $longest ms" ;;
esac
((stopped > 1 && longest > 3000)) && finish 1 "LOST: nothing of the submission runs for $longest ms again and again, $stopped of $starts runs were stopped by the system, $state"
finish 2 "unclear: longest pause $longest ms, $stopped stopped, $state"
