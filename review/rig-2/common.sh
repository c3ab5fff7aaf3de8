# Common parts of the scripts of review/6 to review/10: sourced, not run.
#
# A script sets `folder` to its own folder and sources this file, which enters
# the root of the sources.  It starts the store (start_store), executors
# (start_worker) and entry hosts (start_hosts) as processes, sends calls as a
# client (call) and ends with `finish STATUS`.  All processes that it started
# are ended when it exits.
cd "$folder/../.." || exit 2
rig=target/review-2/rig
record=$folder/record.txt
trouble=${TROUBLE:-1}
hosts=3
service=s-works
: >"$record" || exit 2
[ -x $rig ] && [ -x target/nutmegentry ] || {
    echo "not built: the deploy file, then review/build-2.sh" | tee "$record"
    exit 2
}
temporary=$(mktemp -d) || exit 2
declare -A worker_pid worker_port worker_label
host_pids=()
store_pid=

end_processes() {
    for pid in "${host_pids[@]}" "${worker_pid[@]}" $store_pid; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$temporary"
}
trap end_processes EXIT
trap 'exit 2' INT TERM

note() {
    echo "$($rig now) script: $*" >>"$record"
}

# finish STATUS TEXT: the result of the case.
finish() {
    note "result $1: $2"
    echo "$2"
    exit "$1"
}

start_store() {
    mapfile -t ports < <($rig ports 5)
    store_port=${ports[0]}
    $rig store "$store_port" "$record" &
    store_pid=$!
    for _ in $(seq 100); do
        $rig put "$store_port" rig/ready yes "$record" && return
        sleep 0.05
    done
    finish 2 "the store did not start"
}

# start_worker ID [LABEL]: the first time, and after a crash at the same port.
start_worker() {
    if [ -z "${worker_port[$1]}" ]; then
        worker_port[$1]=$($rig ports 1)
        worker_label[$1]=${2:-a}
    fi
    $rig worker "$1" "${worker_port[$1]}" "$store_port" "$record" $service \
        "${worker_label[$1]}" &
    worker_pid[$1]=$!
}

crash_worker() {
    note "$1 is killed"
    kill -KILL "${worker_pid[$1]}"
    wait "${worker_pid[$1]}" 2>/dev/null
}

# start_host NUMBER: settings as the template gives them on a small deployment.
start_host() {
    local ip=127.0.0.$((10 + $1))
    cat >"$temporary/host-$1.json" <<END
{
  "name": "edge-z0-$1",
  "zone": "z0",
  "front_address": "$ip:${ports[1]}",
  "ready_address": "$ip:${ports[2]}",
  "peer_address": "tcp://$ip:${ports[3]}",
  "store_address": "127.0.0.1:$store_port",
  "cloud_address": "127.0.0.1:$store_port",
  "metrics_address": "$ip:${ports[4]}",
  "cpu_share": 0.1,
  "config_apply_ms": 3000,
  "announce_interval_ms": 1500,
  "memory_mb": 260,
  "max_fds": 4100,
  "grace_s": 6
}
END
    NUTMEGDECK_CONFIG=$temporary/host-$1.json target/nutmegentry \
        >>"$temporary/host-$1.log" 2>&1 &
    host_pids[$1]=$!
}

start_hosts() {
    for ((i = 1; i <= hosts; i++)); do
        start_host $i
    done
    for ((i = 1; i <= hosts; i++)); do
        local status=
        for _ in $(seq 100); do
            status=$($rig call GET \
                "http://127.0.0.$((10 + i)):${ports[2]}/ready" ready "" \
                /dev/null)
            [ "${status%% *}" = 200 ] && break
            sleep 0.1
        done
        [ "${status%% *}" = 200 ] || finish 2 "host $i is not ready"
    done
}

# put_config VERSION ROUTE...: a route is NAME,HOST,PREFIX.
put_config() {
    local version=$1 routes= name host prefix
    shift
    for route in "$@"; do
        IFS=, read -r name host prefix <<<"$route"
        routes+="${routes:+,}{\"name\":\"$name\",\"host\":\"$host\","
        routes+="\"pathPrefix\":\"$prefix\",\"type\":\"non_idempotent\","
        routes+="\"timeoutMs\":3000,\"targetLatencyMs\":3000,\"priority\":0,"
        routes+="\"service\":\"$service\",\"maxAttempts\":2,"
        routes+="\"slackFactor\":2.2}"
    done
    $rig put "$store_port" op/config "{\"version\":$version,\"routes\":[$routes],\"services\":[{\"name\":\"$service\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" \
        "$record" || finish 2 "the store did not take the manifest"
}

# call NUMBER METHOD HOST PATH [BODY]: prints "STATUS BODY".
call() {
    $rig call "$2" "http://127.0.0.$((10 + $1)):${ports[1]}$4" "$3" "$5" \
        "$record"
}
