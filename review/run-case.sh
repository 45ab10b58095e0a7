#!/bin/bash
# Runs a case of the review that is a script: run-case.sh CASE TROUBLE RECORD. Starts the stand-in of build.sh and three hosts with the command and
# the settings template of the deploy file, on loopback addresses. Writes what was sent, answered and run to the file RECORD. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE is 0 to leave the disruption out. HOST_LOGS names a directory for the
# logs of the hosts.
set -uo pipefail

case=$1
trouble=$2
record=$3
cd "$(dirname "${BASH_SOURCE[0]}")/.."
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
temporary=$(mktemp -d)
standin=
host_pids=()
cleanup() {
    exec 2>/dev/null # Bash reports the hosts that it has killed.
    [ -z "$standin" ] || kill -TERM "$standin" 2>/dev/null # timeout passes it on.
    [ ${#host_pids[@]} -eq 0 ] || { kill -KILL "${host_pids[@]}" && wait; } 2>/dev/null
    rm -rf "$temporary"
}
trap cleanup EXIT

# Addresses of the hosts; each has one of its own, so that the ports of the template are free.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
front=8624
addresses=("$network.1" "$network.2" "$network.3")
hosts=$(printf "%s:$front," "${addresses[@]}")

settings_of() { # ADDRESS NUMBER
    sed -e 's/{{#advice}}.*{{\/advice}}//' \
        -e "s/{{node}}/edge-$2/; s/{{zone}}/vasteras/; s/{{region}}/malardalen/; s/{{ip}}/$1/" \
        -e "s/{{listen.front}}/$1:$front/; s/{{listen.ready}}/$1:8622/; s/{{internalPortRange.0}}/7060/; s/{{internalPortRange.1}}/7061/" \
        -e "s/{{platform.address}}/$(cat "$temporary/store")/; s/{{cloud.address}}/$(cat "$temporary/machines")/" \
        -e 's/{{bounds.maxHoldMs}}/6000/; s/{{bounds.status_s}}/120/; s/{{bounds.leaseMs}}/3000/; s/{{bounds.graceS}}/6/' \
        -e 's/{{bounds.moveS}}/1.5/; s/{{bounds.maintenanceS}}/2/; s/{{bounds.remoteFactor}}/1.5/; s/{{limits.cpuShare}}/0.25/' \
        deploy/settings.template
}

[ -x review/build/review_standin ] && [ -x "$program" ] || exit 2
timeout 115 review/build/review_standin --case "$case" --hosts "${hosts%,}" --dir "$temporary" --record "$record" --trouble "$trouble" &
standin=$!
for _ in $(seq 50); do
    [ -s "$temporary/machines" ] && break
    sleep 0.1
done
[ -s "$temporary/machines" ] || exit 2
start_host() { # NUMBER
    MARIGOLDSTILE_SETTINGS="$temporary/$1.json" "$program" >>"${HOST_LOGS:-$temporary}/edge-$1.log" 2>&1 &
    host_pids[$1]=$!
}

# As the platform does it: SIGTERM, SIGKILL after graceS, and a start.
restart_host() { # NUMBER
    kill -TERM "${host_pids[$1]}"
    for _ in $(seq 60); do
        kill -0 "${host_pids[$1]}" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "${host_pids[$1]}" 2>/dev/null
    start_host "$1"
}

for n in 0 1 2; do
    settings_of "${addresses[n]}" "$n" >"$temporary/$n.json"
    start_host "$n"
done
while kill -0 "$standin" 2>/dev/null; do
    if [ -e "$temporary/restart" ]; then
        rm "$temporary/restart"
        for n in 0 1 2; do
            restart_host "$n"
        done
    fi
    sleep 0.1
done
wait "$standin"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
