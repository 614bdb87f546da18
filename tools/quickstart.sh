#!/usr/bin/env bash
# Starts three nodes in three failure domains with stand-ins of the platform on loopback, shows what figspoke
# does and ends everything. Exits non-zero where any step or process does not do what it should.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${FIGSPOKE_BUILD_DIR:-build}
work=$(mktemp -d)
declare -A pid_of address_of expected_to_end
step_name="build"

cleanup() {
    local status=$?
    trap - EXIT
    for name in "${!pid_of[@]}"; do
        kill -TERM "${pid_of[$name]}" 2>/dev/null || true
    done
    sleep 0.5
    for name in "${!pid_of[@]}"; do
        kill -KILL "${pid_of[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" -ne 0 ]; then
        echo "quickstart: failed in step \"$step_name\"; logs are in $work" >&2
    else
        rm -rf "$work"
    fi
    exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
    echo "quickstart: $*" >&2
    exit 1
}

# Every process that should run must run.
check_processes() {
    local running name
    running=$(jobs -pr)
    for name in "${!pid_of[@]}"; do
        if [ -z "${expected_to_end[$name]:-}" ] && ! grep -qx "${pid_of[$name]}" <<<"$running"; then
            fail "process ${pid_of[$name]} ($name) has ended unexpectedly: $(tail -n 3 "$work/$name.log")"
        fi
    done
}

step() {
    check_processes
    step_name=$1
    echo
    echo "== $1"
}

# start NAME PROGRAM FLAGS...: runs a program and waits for the port it listens on.
start() {
    local name=$1 program=$2
    shift 2
    "$build_dir/packages/$program" "$@" >"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
    for _ in $(seq 300); do
        if [ -s "$work/$name.port" ]; then
            address_of[$name]=127.0.0.1:$(cat "$work/$name.port")
            echo "$name: process ${pid_of[$name]} at ${address_of[$name]}"
            return
        fi
        check_processes
        sleep 0.1
    done
    fail "$name does not listen after 30 s"
}

# The mesh addresses stand in all settings files, so the ports are picked before the nodes start.
free_port() {
    local port
    while true; do
        port=$((20000 + RANDOM % 12000))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "$port"
            return
        fi
    done
}

write_settings() {
    local name=$1 domain=$2 mesh=$3 seeds=$4
    cat >"$work/$name.toml" <<EOF
[node]
id = "$name"
failure_domain = "$domain"
listen = "127.0.0.1:0"
port_file = "$work/$name.port"
threads = 2
[mesh]
listen = "127.0.0.1:$mesh"
secret_file = "$work/mesh_secret"
seeds = [$seeds]
[platform]
kv = "${address_of[kv]}"
vms = "${address_of[platform]}"
weights = "${address_of[platform]}"
ratings = "${address_of[platform]}"
[secrets]
token_key_file = "$work/token_key"
[log]
file = ""
level = "info"
EOF
}

write_table() {
    local hash
    hash=$(printf %s "$(cat "$work/demo.key")" | sha256sum | cut -d ' ' -f 1)
    cat >"$work/table.csv" <<EOF
kind,name,revision,key_sha256,max_priority,allowed,quality,price_in,price_out,first_token_ms,address,failure_domain,versions,services,checks_fencing,idempotent,price,floor
account,demo,,$hash,urgent,small;large,0.8
version,small@1,,,,,0.9,100,400,20
version,large@1,,,,,0.97,1000,4000,40
upstream,engine-1,,,,,,,,,${address_of[engine-1]},domain-a,small@1;large@1,,yes
upstream,engine-2,,,,,,,,,${address_of[engine-2]},domain-b,small@1,,yes
upstream,shop,,,,,,,,,${address_of[shop]},domain-c,,parts_order,no
service,parts_order,,,,,,,,,,,,,,no,1000
priority,urgent,,,,,,,,460,,,,,,,,0.7
priority,normal,,,,,,,,5000,,,,,,,,0.2
priority,batch,,,,,,,,60000,,,,,,,,0.1
EOF
}

publish_vms() {
    local vms="" name domain
    for name in node-1:domain-a node-2:domain-b node-3:domain-c engine-1:domain-a engine-2:domain-b shop:domain-c; do
        domain=${name#*:}
        name=${name%:*}
        vms+="${vms:+,}{\"id\":\"$name\",\"address\":\"${address_of[$name]}\",\"failure_domain\":\"$domain\",\"state\":\"live\"}"
    done
    curl -fsS -X POST -d "{\"vms\":[$vms]}" "http://${address_of[platform]}/control" >/dev/null
}

wait_until_ready() {
    for _ in $(seq 300); do
        if curl -fsS "http://${address_of[$1]}/readyz" >/dev/null 2>&1; then
            return
        fi
        check_processes
        sleep 0.1
    done
    fail "$1 is not ready after 30 s"
}

figspoke() {
    "$build_dir/packages/cli/figspoke" --kv="${address_of[kv]}" --author=quickstart "$@"
}

chat() {
    local address=$1 text=$2 tokens=$3
    curl -sSN --max-time 60 -H "Authorization: Bearer $(cat "$work/demo.key")" -d \
        "{\"model\":\"auto\",\"stream\":true,\"max_tokens\":$tokens,\"messages\":[{\"role\":\"user\",\"content\":\"$text\"}]}" \
        "http://$address/v1/chat/completions"
}

order() {
    curl -sS --max-time 20 -H "Authorization: Bearer $(cat "$work/demo.key")" -H "Idempotency-Key: order-1" \
        -d '{"units":3}' "http://$1/v1/orders/parts_order"
}

echo "== build"
tools/install_packages.sh
tools/build.sh "$build_dir" '' figspoked figspoke standin_kv standin_upstream standin_platform >"$work/build.log" 2>&1 ||
    { tail -n 30 "$work/build.log"; fail "the build failed"; }
(umask 077 && for name in mesh_secret token_key demo.key; do head -c 24 /dev/urandom | base64 >"$work/$name"; done)

step "start the stand-ins of the platform, two model engines and an order service"
start kv standins/standin_kv --port_file="$work/kv.port"
start platform standins/standin_platform --port_file="$work/platform.port"
for engine in engine-1:small@1,large@1 engine-2:small@1 shop:; do
    # Answers of 200 tokens, 30 ms apart, outlast the 3 s after which a leaving node takes no new work.
    start "${engine%%:*}" standins/standin_upstream --name="${engine%%:*}" --versions="${engine#*:}" \
        --token_ms=30 --answer_tokens_min=200 --answer_tokens_max=200 --port_file="$work/${engine%%:*}.port"
done

step "import the configuration table before any node runs"
write_table
status=0
figspoke table import "$work/table.csv" --wait_ms=0 >"$work/import.log" 2>&1 || status=$?
[ "$status" -eq 4 ] || fail "import ended with exit code $status instead of 4 (stored): $(cat "$work/import.log")"
head -n 1 "$work/import.log"

step "start three nodes in three failure domains"
mesh=("$(free_port)" "$(free_port)" "$(free_port)")
seeds="\"127.0.0.1:${mesh[0]}\", \"127.0.0.1:${mesh[1]}\", \"127.0.0.1:${mesh[2]}\""
for i in 1 2 3; do
    domains=(domain-a domain-b domain-c)
    write_settings "node-$i" "${domains[$((i - 1))]}" "${mesh[$((i - 1))]}" "$seeds"
    start "node-$i" node/figspoked --settings "$work/node-$i.toml"
done
publish_vms
for i in 1 2 3; do wait_until_ready "node-$i"; done
echo "all three nodes are ready"

step "ask a node for addresses and stream a chat answer from one of them"
entry=$(curl -fsS "http://${address_of[node-1]}/v1/entry")
echo "$entry"
first=$(grep -o '[0-9.]*:[0-9]\+' <<<"$entry" | head -n 1)
chat "$first" "Which part fits?" 12 >"$work/chat.sse"
head -n 3 "$work/chat.sse" | cut -c 1-160
[ "$(grep -c '"content"' "$work/chat.sse")" -eq 12 ] || fail "the stream has not 12 tokens: $(cat "$work/chat.sse")"
grep -q '^data: \[DONE\]' "$work/chat.sse" || fail "the stream is not whole"
echo "12 tokens and the end mark arrived"

step "send one order twice, to two nodes"
order "${address_of[node-1]}" >"$work/order.1"
order "${address_of[node-3]}" >"$work/order.2"
cat "$work/order.1" && echo
cmp -s "$work/order.1" "$work/order.2" || fail "the second answer differs: $(cat "$work/order.2")"
runs=$(curl -fsS "http://${address_of[shop]}/counts" | grep -o '"key":"order-1"' | wc -l)
[ "$runs" -eq 1 ] || fail "the order ran $runs times"
echo "both answers are the same; the order service ran it once"

step "change a price and see it on every node"
figspoke --node="${address_of[node-2]}" table set version/small@1 price_out=500
revision=$(figspoke table get | sed -n 's/^revision //p')
for i in 1 2 3; do
    seen=$(figspoke --node="${address_of[node-$i]}" status | sed -n 's/^table revision \([0-9]*\),.*/\1/p')
    [ "$seen" = "$revision" ] || fail "node-$i has revision $seen instead of $revision"
    echo "node-$i has revision $seen"
done

step "send two seconds of load"
figspoke --node="${address_of[node-1]}" --keys_file="$work/demo.key" --rate=10 --duration_s=2 --answer_tokens=10 \
    --orders=0.2 --order_service=parts_order load | tee "$work/load.log"
grep -q 'error' "$work/load.log" && fail "requests failed under load"

step "stop a node while it streams a long answer"
chat "${address_of[node-3]}" "Draft a quote from these notes." 200 >"$work/long.sse" &
stream=$!
for _ in $(seq 100); do grep -q '"content"' "$work/long.sse" && break; sleep 0.05; done
expected_to_end[node-3]=yes
figspoke --node="${address_of[node-3]}" --wait_ms=30000 drain
wait "$stream" || fail "the stream broke off"
tokens=$(grep -c '"content"' "$work/long.sse")
[ "$tokens" -eq 200 ] || fail "the stream has $tokens instead of 200 tokens"
grep -q '^data: \[DONE\]' "$work/long.sse" || fail "the stream has no end mark"
wait "${pid_of[node-3]}" || fail "node-3 ended with an error: $(tail -n 3 "$work/node-3.log")"
unset "pid_of[node-3]"
echo "all 200 tokens and the end mark arrived; node-3 ended with exit code 0"

step "look at the fleet"
figspoke --node="${address_of[node-1]}" status
check_processes
echo
echo "quickstart: every step did what it should"
