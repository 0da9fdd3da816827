#!/usr/bin/env bash
# Builds the workspace, starts the stand-ins and two gateways, sends one streamed model request and
# the same non-idempotent booking twice, prints the routing decisions and the status, and stops all
# processes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
bin="${CARGO_TARGET_DIR:-target}/debug"
work=$(mktemp -d)
pids=()
finish() {
    status=$?
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
    if [ "$status" -eq 0 ]; then echo "quickstart: ok"; else echo "quickstart: failed"; fi
    exit "$status"
}
trap finish EXIT

# Waits up to 30 seconds for a matching line of a log file and prints it.
await() {
    for _ in $(seq 300); do
        if grep -m1 -e "$2" "$1" 2>/dev/null; then return 0; fi
        sleep 0.1
    done
    echo "no line with '$2':" >&2
    tail -5 "$1" >&2
    return 1
}
# Extracts a string value of a JSON line.
field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

echo "== stand-ins"
"$bin/fake-platform" >"$work/platform.log" &
pids+=($!)
platform=$(await "$work/platform.log" listening | awk '{print $2}')
"$bin/fake-engine" --fleet examples/roofcare/fleet.toml --platform "$platform" >"$work/engine.log" &
pids+=($!)
await "$work/engine.log" listening

echo "== publish"
"$bin/bambooroad" check examples/roofcare/services
"$bin/bambooroad" publish --table "$platform" --author quickstart examples/roofcare/services
"$bin/bambooroad" log --table "$platform"

echo "== gateways"
"$bin/bambooroad" keygen --folder "$work/keys" gw-1 gw-2
for n in 1 2; do
    cat >"$work/gw-$n.toml" <<S
instance = "gw-$n"
zone = "adajan"
region = "tapi-west"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[peers]
certificate = "$work/keys/gw-$n.pem"
key = "$work/keys/gw-$n.key.pem"
authorities = ["$work/keys/authority.pem"]
[platform]
table = "$platform"
objects = "$platform"
directory = "$platform"
register = true
S
    "$bin/bamboo-gateway" --settings "$work/gw-$n.toml" --check-settings
    "$bin/bamboo-gateway" --settings "$work/gw-$n.toml" >"$work/gw-$n.log" &
    pids+=($!)
done
callers1=$(await "$work/gw-1.log" '"name":"Started"' | field callers)
callers2=$(await "$work/gw-2.log" '"name":"Started"' | field callers)
await "$work/gw-1.log" '"name":"ConfigInForce"' >/dev/null
await "$work/gw-2.log" '"name":"ConfigInForce"' >/dev/null
await "$work/gw-1.log" '"name":"MemberJoined"' >/dev/null
sleep 2

echo "== a streamed model request through the first gateway"
"$bin/bamboo-load" call --address "$callers1" --path /v1/chat/completions \
    --header content-type=application/json --header bamboo-organisation=adajan-homes \
    --header bamboo-tier=quote \
    --body '{"model":"vaani-7b","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"<<roof>> a quote"}]}'

echo "== a booking through the second gateway, sent twice"
for _ in 1 2; do
    "$bin/bamboo-load" call --address "$callers2" --path /services/bookdesk/bookings \
        --header content-type=application/json --header bamboo-organisation=adajan-homes \
        --header idempotency-key=house-7 --body '{"house":7}'
    sleep 1
done

echo "== decisions"
await "$work/gw-1.log" '"name":"Routed"'
await "$work/gw-2.log" '"name":"Routed"'

echo "== status"
"$bin/bambooroad" status --directory "$platform"
