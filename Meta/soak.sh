#!/usr/bin/env bash
# Runs proxies as processes of their own under faults from outside, once for
# each seed: Meta/soak.sh FIRST_SEED COUNT [PROXIES] [FAULT_SECONDS] [PORT]
# Logs of a seed that failed stay in build/soak; with KEEP_LOGS=1 all logs stay.
# With RESTORES=N the store is restored from a backup N times during the faults.
# With SYNC_REPLICAS=N a commit is acknowledged once N replicas have it, and
# replicas fail too.
# With SILENCES=N open connections to the store and to servers fall silent N times
# during the faults, and configurations are checked after further silences.
# With CUSTOMERS=N callers belong to N customers, servers check under whose name the
# connection of a statement was opened, and a key is added and removed all the time.
# With FOREIGN_WRITER=1 other software writes rows of any form into the store's tables.
# A proxy that ends by itself fails the seed.
# With OLD_BUILD=FOLDER every second proxy runs the binary of that build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1
count=$2
proxies=${3:-5}
seconds=${4:-14}
port=${5:-21000}
failed=0

# Starts proxy $2 of the run in folder $1 again whenever it ends.
keep_running() {
  local program=build/kingcupmill-edge
  if (($2 % 2 == 1)); then program=${OLD_BUILD:-build}/kingcupmill-edge; fi
  while [ ! -e "$1/stop" ]; do
    "$program" --settings "$1/proxy-$2.toml" >>"$1/proxy-$2.log" 2>&1 &
    echo $! >"$1/proxy-$2.pid"
    local status=0
    wait $! 2>/dev/null || status=$?
    # The soak itself sends only SIGTERM, SIGKILL, SIGSTOP and SIGCONT.
    case $status in
      132 | 134 | 135 | 136 | 139) echo "proxy $2 ended with status $status" >>"$1/own-ends" ;;
    esac
    rm -f "$1/proxy-$2.pid"
    sleep 0.3
  done
}

for ((seed = first; seed < first + count; seed++)); do
  folder=build/soak/$seed-$proxies
  rm -rf "$folder"
  mkdir -p "$folder"
  build/kingcupmill-soak --seed "$seed" --proxies "$proxies" --folder "$folder" \
    --fault-seconds "$seconds" --base-port "$port" \
    --restores "${RESTORES:-0}" --sync-replicas "${SYNC_REPLICAS:-0}" \
    --silences "${SILENCES:-0}" --customers "${CUSTOMERS:-0}" \
    ${FOREIGN_WRITER:+--foreign-writer} \
    >"$folder/soak.log" 2>&1 &
  soak=$!
  until [ -e "$folder/ready" ] || ! kill -0 "$soak" 2>/dev/null; do sleep 0.05; done
  keepers=()
  for ((index = 0; index < proxies; index++)); do
    keep_running "$folder" "$index" &
    keepers+=($!)
  done
  code=0
  wait "$soak" || code=$?
  touch "$folder/stop"
  for pid in "$folder"/proxy-*.pid; do
    [ -e "$pid" ] && kill -KILL "$(cat "$pid")" 2>/dev/null || true
  done
  for keeper in "${keepers[@]}"; do wait "$keeper" 2>/dev/null || true; done
  grep -h '^seed ' "$folder/soak.log" || cat "$folder/soak.log"
  if [ -e "$folder/own-ends" ]; then
    sed "s/^/seed $seed: /" "$folder/own-ends" | sort | uniq -c
    code=1
  fi
  [ "$code" -eq 0 ] || failed=$((failed + 1))
  [ "$code" -ne 0 ] || [ -n "${KEEP_LOGS:-}" ] || rm -rf "$folder"
done
echo "soak: $count seeds, $failed failed"
[ "$failed" -eq 0 ]
