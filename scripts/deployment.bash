# Starts and ends a deployment on loopback; sourced by the scripts beside it, from the project's root.
#
# Each host has a loopback address of its own with the same ports: 8080 for callers, 7101 for
# entries, 7102 for peers, 7103 for operators. Processes are ended by their ids.

work=$(mktemp -d)
bin=${CARGO_TARGET_DIR:-target}/${profile:-debug}
declare -A pid=()
started=()

# finish: ends what was started, newest first, and tells the last log lines after a failure.
finish() {
    local status=$?
    trap - EXIT INT TERM
    local index
    for ((index = ${#started[@]} - 1; index >= 0; index--)); do
        kill -TERM "${pid[${started[$index]}]}" 2>/dev/null || true
    done
    for index in "${started[@]}"; do
        wait "${pid[$index]}" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ]; then
        echo "${0##*/}: failed; the last lines of the logs:" >&2
        tail -n 3 "$work"/*.log >&2 || true
    fi
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT INT TERM

# start NAME COMMAND...: starts a process, again if it ran before.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
    [ -n "${pid[$name]:-}" ] || started+=("$name")
    pid[$name]=$!
}

# until_ready URL [CURL OPTION...]: waits until a URL answers with success.
until_ready() {
    local try
    for ((try = 0; try < 300; try++)); do
        curl --silent --fail --output /dev/null --max-time 2 "$@" && return
        sleep 0.1
    done
    echo "${0##*/}: $1 does not answer" >&2
    exit 1
}

# must_run NAME: fails when a process has ended, say because another holds its address.
must_run() {
    kill -0 "${pid[$1]}" 2>/dev/null && return
    echo "${0##*/}: $1 has ended" >&2
    exit 1
}

# choose_deployment publisher|permits: sets the shape of a deployment.
choose_deployment() {
    deployment=$1
    case $deployment in
        publisher)
            net=127.77
            region=my-west
            domains=(kl-a pg-b jb-c)
            hosts=(2 2 1)
            model=drafter
            replicas=(4 4 4)
            apps=(1 1 1)
            slots=2
            keys=
            fencing=--checks-fencing
            token=demo-house-desk
            ;;
        permits)
            net=127.78
            region=tt-north
            domains=(savannah woodford st-james belmont)
            hosts=(2 1 1 1)
            model=assistant
            replicas=(5 5 4 4)
            apps=(1 1 1 1)
            slots=3
            keys=--checks-keys
            fencing=
            token=demo-front-counter
            ;;
        *) return 1 ;;
    esac
    platform=$net.0.1:9100
}

# start_platform: starts log, list and weight store.
start_platform() {
    start platform "$bin/wtd-fakes" platform --address "$platform" --load-slots "$slots"
    until_ready "http://$platform/list"
    must_run platform
}

# start_endpoints PERCENT: starts that share of the model replicas, and all app replicas.
start_endpoints() {
    local index number count domain
    services=()
    for index in "${!domains[@]}"; do
        domain=${domains[$index]}
        count=$((replicas[index] * $1 / 100))
        [ "$count" -ge 1 ] || count=1
        for ((number = 1; number <= count; number++)); do
            # shellcheck disable=SC2086 # An empty option is no option.
            start "$model-$domain-$number" "$bin/wtd-fakes" engine $fencing \
                --address "$net.$((index + 1)).$((100 + number)):9000" \
                --id "$model-$domain-$number" --pool "$model" --domain "$domain" \
                --register "http://$platform" --weights "http://$platform"
        done
        for ((number = 1; number <= apps[index]; number++)); do
            services+=("$net.$((index + 1)).$((200 + number)):9000")
            # shellcheck disable=SC2086 # An empty option is no option.
            start "app-$domain-$number" "$bin/wtd-fakes" service \
                --address "$net.$((index + 1)).$((200 + number)):9000" \
                --id "app-$domain-$number" --pool app --domain "$domain" \
                --register "http://$platform" $keys
        done
    done
}

# start_hosts: writes all settings, registers the hosts, and starts keepers and entries.
start_hosts() {
    local index number
    keepers=()
    entries=()
    names=()
    head -c 48 /dev/urandom | base64 >"$work/secret"
    for index in "${!domains[@]}"; do
        for ((number = 1; number <= hosts[index]; number++)); do
            write_host "$index" "$number"
        done
    done
    write_operator
    for index in "${names[@]}"; do
        start_keeper "$index"
        start_entry "$index"
    done
    for index in "${keepers[@]}"; do
        until_ready "http://$index/health"
    done
    for index in "${!pid[@]}"; do
        must_run "$index"
    done
}

# start_keeper HOST and start_entry HOST: start a process of a host.
start_keeper() { start "keeper-$1" "$bin/wagtaildoor-keeper" --settings "$work/keeper-$1.ini"; }
start_entry() { start "entry-$1" "$bin/wagtaildoor-entry" --settings "$work/entry-$1.ini"; }

# write_host DOMAIN_INDEX NUMBER: writes the settings of a host and puts it into the list.
write_host() {
    local domain=${domains[$1]} ip=$net.$(($1 + 1)).$2 other links
    local host=$domain-$2
    names+=("$host")
    keepers+=("$ip:7103")
    entries+=("$ip:8080")
    links=$ip:7101
    for ((other = 1; other <= hosts[$1]; other++)); do
        [ "$other" -eq "$2" ] || links+=,$net.$(($1 + 1)).$other:7101
    done
    cat >"$work/keeper-$host.ini" <<INI
[host]
name = $host
domain = $domain
region = $region

[serve]
entries = $ip:7101
peers = $ip:7102
operators = $ip:7103

[platform]
log_url = http://$platform
list_url = http://$platform/list

[peers]
secret_file = $work/secret
INI
    cat >"$work/entry-$host.ini" <<INI
[host]
name = $host
domain = $domain
region = $region

[listen]
address = $ip:8080

[keepers]
addresses = $links

[shutdown]
quiet_ms = 200
INI
    curl --silent --fail --output /dev/null -X PUT "http://$platform/list/hosts/$host" \
        -H 'content-type: application/json' --data @- <<JSON
{"id": "$host", "domain": "$domain", "state": "live", "peers": "$ip:7102",
 "operators": "$ip:7103", "entries": "$ip:7101"}
JSON
}

# write_operator: writes the settings of wtd.
write_operator() {
    local IFS=,
    cat >"$work/operator.ini" <<INI
[operator]
name = demo
log_url = http://$platform
keepers = ${keepers[*]}
entries = ${entries[*]}
INI
}

# wtd ARGUMENT...: the operators' tool with the deployment's settings.
wtd() { "$bin/wtd" --settings "$work/operator.ini" "$@"; }

# publish_templates NOTE: publishes the deployment's templates and waits until all entries serve.
publish_templates() {
    local entry
    wtd publish "templates/$deployment" --note "$1"
    for entry in "${entries[@]}"; do
        until_ready "http://$entry/ready"
    done
}
