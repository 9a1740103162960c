#!/usr/bin/env bash
# Measures what a statement through a proxy costs over one to the target itself:
# stand-ins and one daemon, each a process of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
build/kingcupmill-standins >/dev/null & pids+=($!)
build/kingcupmilld --settings Settings/vm-1.toml >/dev/null & pids+=($!)
until curl -sf -o /dev/null http://127.0.0.1:7000/vms; do sleep 0.1; done
curl -sf -o /dev/null -X PUT http://127.0.0.1:7000/vms -d '{"name":"vm-1","place":"accra-a","http_address":"127.0.0.1:8001","peer_address":"127.0.0.1:8101"}'
build/kingcupmill apply Declarations/restock >/dev/null
until curl -sf -o /dev/null http://127.0.0.1:8001/health; do sleep 0.1; done
sleep 1
build/kingcupmill-lab cost --proxy 127.0.0.1:8001 --target 127.0.0.1:7101 \
  --daemon-process "${pids[1]}"
