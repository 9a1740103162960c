#!/usr/bin/env bash
# Runs the README's by-hand tour: stand-ins and three daemons on loopback, a
# change, a write through one proxy, reads through the others, a drain.
set -euo pipefail
cd "$(dirname "$0")/.."
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
fail() { echo "by hand: $*" >&2; exit 1; }

build/kingcupmill-standins --lag-ms 100 & pids+=($!)
for i in 1 2 3; do
  build/kingcupmilld --settings "Settings/vm-$i.toml" & pids+=($!)
done
for _ in $(seq 100); do
  curl -sf -o /dev/null http://127.0.0.1:7000/vms && break
  sleep 0.1
done
for i in 1 2 3; do
  place=$(sed -n 's/^place = "\(.*\)"/\1/p' "Settings/vm-$i.toml")
  curl -sf -o /dev/null -X PUT http://127.0.0.1:7000/vms -d "{\"name\":\"vm-$i\",\"place\":\"$place\",\"http_address\":\"127.0.0.1:800$i\",\"peer_address\":\"127.0.0.1:810$i\"}"
done

build/kingcupmill validate Declarations/restock
build/kingcupmill apply Declarations/restock --base 0 --author adwoa
build/kingcupmill diff Declarations/restock
build/kingcupmill apply Declarations/restock --base 7 && fail "a wrong base was accepted"
build/kingcupmill history
for i in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://127.0.0.1:800$i/health" && break
    sleep 0.1
  done
done
build/kingcupmill status

sql() { build/kingcupmill sql --application shop-orders --group restock-1 "$@"; }
sql --proxy 127.0.0.1:8001 "CREATE TABLE freezer (id INTEGER PRIMARY KEY, item TEXT)" >/dev/null
session=$(sql --proxy 127.0.0.1:8001 --parameters '[1, "dumplings"]' "INSERT INTO freezer VALUES (?, ?)" | sed -n 's/^session //p')
for port in 8002 8003; do
  sql --proxy "127.0.0.1:$port" --session "$session" "SELECT item FROM freezer WHERE id = 1" | tee build/by_hand.txt
  grep -q dumplings build/by_hand.txt || fail "proxy $port does not show the write"
done
build/kingcupmill explain --proxy 127.0.0.1:8002 --group restock-1 --max-age-ms 1000

Meta/hostile.sh 127.0.0.1:8002

# One proxy gets SIGTERM while callers use it: no request is cut.
(for n in $(seq 40); do
  curl -s -o /dev/null -w '%{http_code}\n' -H 'Kingcupmill-Application: shop-orders' \
    -d "{\"group\":\"restock-1\",\"sql\":\"INSERT INTO freezer VALUES (?, 'rice')\",\"parameters\":[$((n + 100))]}" \
    http://127.0.0.1:8001/v1/statements
done) >build/by_hand_codes.txt & load=$!
sleep 0.2
kill -TERM "${pids[1]}"
wait "${pids[1]}" || fail "the drained proxy exited with $?"
wait "$load" || true
echo "answers during the drain:"; sort build/by_hand_codes.txt | uniq -c
grep -qvE '^(200|000)$' build/by_hand_codes.txt && fail "a request failed during the drain"
ran=$(grep -c '^200$' build/by_hand_codes.txt)
rows=$(sql --proxy 127.0.0.1:8002 --session "$session" "SELECT count(*) FROM freezer WHERE id > 100 AND id < 9000" | sed -n 2p | tr -d '\t')
[ "$rows" = "$ran" ] || fail "$ran writes were acknowledged, $rows are there"
echo "by hand: everything as printed in the README"
