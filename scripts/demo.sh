#!/usr/bin/env bash
# Starts the whole system on loopback as separate processes, applies
# examples/folder, sends requests through the balancer, checks each answer and
# stops every process that it started.
#
# DEMO_DIR keeps logs and records there. DEMO_PORT moves the ports, which start
# at 7000; the folder is then applied with a file that moves its services.
set -euo pipefail
cd "$(dirname "$0")/.."

work=${DEMO_DIR:-$(mktemp -d)}
port=${DEMO_PORT:-7000}
mkdir -p "$work"
pids=()

node_pids=()

end_processes() {
  local pid
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    wait "$pid" 2>/dev/null || true
  done
}

stop() {
  status=$?
  trap - EXIT
  # Nodes end first: they finish their requests and revoke their leases.
  end_processes "${node_pids[@]}"
  end_processes "${pids[@]}"
  if [ "$status" -ne 0 ]; then
    echo "demo failed with status $status" >&2
    tail -n 5 "$work"/*.log >&2 || true
  else
    echo "demo passed, all processes stopped"
  fi
  if [ -z "${DEMO_DIR:-}" ]; then
    rm -rf "$work"
  fi
  exit "$status"
}
trap stop EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... runs a process and notes its id.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# require_running fails when a process has ended by itself.
require_running() {
  local pid
  for pid in "${pids[@]}"; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "process $pid ended early" >&2
      return 1
    fi
  done
}

# await SECONDS WHAT COMMAND... repeats a command until it succeeds.
await() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >"$work/await.out" 2>&1; do
    require_running
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "timed out: $what" >&2
      cat "$work/await.out" >&2
      return 1
    fi
    sleep 0.1
  done
  echo "$what"
}

listening() { grep -q 'listening on' "$work/$1.log"; }

standin=bin/lacewingspoke-standin
domains=(constanta-port mamaia-north eforie-south)
balancer=$((port + 800))
store=127.0.0.1:$port

# One fabric domain per failure domain with three VMs each, and a spare VM.
vms=()
entries=()
for index in 0 1 2 3 4 5 6 7 8 9; do
  domain=${domains[index % 3]}
  vms+=("vm-$index=127.0.0.1:$((port + 100 + index))")
  entries+=("{\"name\":\"vm-$index\",\"address\":\"127.0.0.1:$((port + 100 + index))\",\"incarnation\":\"vm-$index-1\",\"fabric-domain\":\"fabric-$domain\",\"failure-domain\":\"$domain\",\"accelerators\":4,\"state\":\"live\"}")
done
(IFS=,; echo "{\"vms\":[${entries[*]}]}") >"$work/vms.json"

start store "$standin" store --listen "$store" --vms "$work/vms.json"
for vm in "${vms[@]}"; do
  start "engine-${vm%%=*}" "$standin" engine --vm "$vm" --incarnation "${vm%%=*}-1" --checks-fencing --record "$work"
done
for index in 0 1 2; do
  start "service-$index" "$standin" service --name "bookings-$index" \
    --listen "127.0.0.1:$((port + 301 + index))" --record "$work/service-$index.jsonl"
done

seeds=()
balanced=()
admins=()
for index in 0 1 2 3 4 5; do
  seeds+=("127.0.0.1:$((port + 500 + index))")
  balanced+=(--node "127.0.0.1:$((port + 400 + index))=127.0.0.1:$((port + 600 + index))")
  admins+=("127.0.0.1:$((port + 600 + index))")
done
for index in 0 1 2 3 4 5; do
  cat >"$work/node-$index.ini" <<SETTINGS
[node]
name           = node-$index
failure-domain = ${domains[index % 3]}
stop-notice    = 500ms

[listen]
callers = 127.0.0.1:$((port + 400 + index))
peers   = 127.0.0.1:$((port + 500 + index))
admin   = 127.0.0.1:$((port + 600 + index))

[store]
addresses = $store

[peers]
seeds = $(IFS=,; echo "${seeds[*]}")
SETTINGS
  start "node-$index" bin/lacewingspoke node --settings "$work/node-$index.ini"
  node_pids+=("${pids[-1]}")
done
start balancer "$standin" balancer --listen 127.0.0.1:$balancer "${balanced[@]}"

await 10 "store listens" listening store
await 10 "balancer listens" listening balancer

export LACEWINGSPOKE_STORE=$store
LACEWINGSPOKE_NODE=$(IFS=,; echo "${admins[*]}")
export LACEWINGSPOKE_NODE
nodes_started() {
  local index
  for index in 0 1 2 3 4 5; do
    grep -q '"msg":"started"' "$work/node-$index.log" || return 1
  done
}
await 10 "nodes started" nodes_started
folder=examples/folder
if [ "$port" -ne 7000 ]; then
  cp -r examples/folder "$work/folder"
  folder=$work/folder
  cat >"$folder/90-demo.ini" <<FOLDER
[service bookings]
addresses = 127.0.0.1:$((port + 301)) ${domains[0]}, 127.0.0.1:$((port + 302)) ${domains[1]}, 127.0.0.1:$((port + 303)) ${domains[2]}
FOLDER
fi
bin/lacewingspoke apply "$folder" --reason "demo" --author demo --wait 10s

call() { "$standin" call --address 127.0.0.1:$balancer "$@"; }
farul=(--key farul-demo-key)
try=0
first_draft() {
  try=$((try + 1))
  call "${farul[@]}" draft "warm-up $try"
}
await 60 "first draft answered" first_draft
call "${farul[@]}" --stream draft "a streamed draft"
call "${farul[@]}" draft "an unstreamed draft"
call --key delfin-demo-key --stream draft "a draft of another workspace"
call "${farul[@]}" lookup oak-17
first=$(call "${farul[@]}" --idempotency-key demo-1 booking oak-17)
second=$(call "${farul[@]}" --idempotency-key demo-1 booking oak-17)
echo "$first"
echo "$second"
receipt() { sed 's/.*"receipts":\["\([^"]*\)"\].*/\1/' <<<"$1"; }
if [ "$(receipt "$first")" != "$(receipt "$second")" ]; then
  echo "the repeated booking has another receipt" >&2
  exit 1
fi
runs=$(cat "$work"/service-*.jsonl | grep -c '"plank":"oak-17"')
if [ "$runs" -ne 1 ]; then
  echo "the booking ran $runs times" >&2
  exit 1
fi
bin/lacewingspoke status
bin/lacewingspoke explain --path /v1/completions --workspace farul
