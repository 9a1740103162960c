#!/usr/bin/env bash
# Runs processes of an older build beside those of build/:
#   Meta/mixed_versions.sh OLD_BUILD
# Daemons: what one build published and wrote is read and continued by the other,
# in both directions. Edges: every second proxy of a soak runs the old build.
set -euo pipefail
cd "$(dirname "$0")/.."
old=$(cd "${1:?the build folder of the older version}" && pwd)
new=$PWD/build
work=build/mixed
mkdir -p "$work"
app='Kingcupmill-Application: shop-orders'
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
fail() { echo "mixed versions: $*" >&2; exit 1; }

await_health() {
  for _ in $(seq 150); do
    curl -sf -o /dev/null "http://127.0.0.1:$1/health" && return
    sleep 0.1
  done
  fail "port $1 does not become healthy"
}
# Prints body and status: call PORT PATH BODY [HEADER...].
call() {
  local port=$1 path=$2 body=$3 headers=()
  shift 3
  for header in "$@"; do headers+=(-H "$header"); done
  curl -s -m 10 -w ' %{http_code}' -H "$app" "${headers[@]}" -d "$body" \
    "http://127.0.0.1:$port$path"
}
sql_body() { echo "{\"group\":\"restock-1\",\"sql\":\"$1\"}"; }

# Stand-ins, vm-1 and vm-3 run the build $2; vm-2 starts with it, stops
# gracefully and comes back with the build $3.
tour() {
  local label=$1 first=$2 second=$3 index place session key answer load
  "$first/kingcupmill-standins" --lag-ms 100 >"$work/$label-standins.log" 2>&1 &
  pids=($!)
  for index in 1 2 3; do
    "$first/kingcupmilld" --settings "Settings/vm-$index.toml" \
      >"$work/$label-vm-$index.log" 2>&1 &
    pids+=($!)
  done
  until curl -sf -o /dev/null http://127.0.0.1:7000/vms; do sleep 0.1; done
  for index in 1 2 3; do
    place=$(sed -n 's/^place = "\(.*\)"/\1/p' "Settings/vm-$index.toml")
    curl -sf -o /dev/null -X PUT http://127.0.0.1:7000/vms -d "{\"name\":\"vm-$index\",\"place\":\"$place\",\"http_address\":\"127.0.0.1:800$index\",\"peer_address\":\"127.0.0.1:810$index\"}"
  done
  "$first/kingcupmill" apply Declarations/restock --base 0 --author adwoa >/dev/null
  for index in 1 2 3; do await_health "800$index"; done

  # 1. The first build writes: a table, a row in a session, a request with a key.
  local sql=("--application" shop-orders --group restock-1)
  "$first/kingcupmill" sql --proxy 127.0.0.1:8001 "${sql[@]}" \
    "CREATE TABLE freezer (id INTEGER PRIMARY KEY, item TEXT)" >/dev/null
  session=$("$first/kingcupmill" sql --proxy 127.0.0.1:8001 "${sql[@]}" \
    "INSERT INTO freezer VALUES (1, 'dumplings')" | sed -n 's/^session //p')
  answer=$(call 8001 /v1/statements "$(sql_body "INSERT INTO freezer VALUES (2, 'momo')")" 'Idempotency-Key: order-2')
  [ "${answer##* }" = 200 ] || fail "$label: a write with a key got $answer"

  # 2. vm-2 stops gracefully and comes back with the second build.
  kill -TERM "${pids[2]}"
  wait "${pids[2]}" || fail "$label: the first build's vm-2 exited with $?"
  "$second/kingcupmilld" --settings Settings/vm-2.toml \
    >"$work/$label-vm-2-second.log" 2>&1 &
  pids[2]=$!
  await_health 8002

  # 3. It reads what the first build published and wrote.
  [ "$("$first/kingcupmill" get)" = "$("$second/kingcupmill" get)" ] ||
    fail "$label: the builds print different configurations"
  [ "$("$first/kingcupmill" history)" = "$("$second/kingcupmill" history)" ] ||
    fail "$label: the builds print different histories"
  "$second/kingcupmill" diff Declarations/restock >/dev/null || fail "$label: diff"
  "$second/kingcupmill" sql --proxy 127.0.0.1:8002 --session "$session" "${sql[@]}" \
    "SELECT item FROM freezer WHERE id = 1" | grep -q dumplings ||
    fail "$label: the second build does not show the session's write"
  answer=$(call 8002 /v1/statements "$(sql_body "INSERT INTO freezer VALUES (2, 'momo')")" 'Idempotency-Key: order-2')
  grep -q '"replayed":true' <<<"$answer" || fail "$label: order-2 again got $answer"
  answer=$(call 8002 /v1/statements "$(sql_body "INSERT INTO freezer VALUES (3, 'rice')")" 'Idempotency-Key: order-2')
  [ "${answer##* }" = 409 ] || fail "$label: order-2 with another statement got $answer"
  answer=$(curl -s -H "$app" http://127.0.0.1:8002/v1/requests/restock-1/order-2)
  grep -q '"outcome":"ran"' <<<"$answer" || fail "$label: order-2 is $answer"

  # 4. The second build writes, the first one reads; what was answered as not run
  # by the second one never runs at the first one.
  session=$("$second/kingcupmill" sql --proxy 127.0.0.1:8002 --session "$session" "${sql[@]}" \
    "INSERT INTO freezer VALUES (4, 'pho')" | sed -n 's/^session //p')
  for index in 1 3; do
    "$first/kingcupmill" sql --proxy "127.0.0.1:800$index" --session "$session" "${sql[@]}" \
      "SELECT item FROM freezer WHERE id = 4" | grep -q pho ||
      fail "$label: vm-$index does not show the second build's write"
  done
  curl -s -o /dev/null -H "$app" http://127.0.0.1:8002/v1/requests/restock-1/order-5
  answer=$(call 8001 /v1/statements "$(sql_body "INSERT INTO freezer VALUES (5, 'banh')")" 'Idempotency-Key: order-5')
  [ "${answer##* }" = 503 ] || fail "$label: order-5 was reported as not run, then got $answer"

  # 5. A transaction is opened at one proxy and ended at another.
  for ports in "8001 8002 8003" "8002 8001 8002"; do
    set -- $ports
    answer=$(call "$1" /v1/transactions '{"group":"restock-1"}')
    key=$(sed -n 's/.*"transaction":"\([^"]*\)".*/\1/p' <<<"$answer")
    [ -n "$key" ] || fail "$label: begin at $1 got $answer"
    answer=$(call "$2" "/v1/transactions/$key/statements" "$(sql_body "INSERT INTO freezer VALUES (1$1, 'ramen')")")
    [ "${answer##* }" = 200 ] || fail "$label: a statement at $2 got $answer"
    answer=$(call "$3" "/v1/transactions/$key/commit" '{"group":"restock-1"}')
    [ "${answer##* }" = 200 ] || fail "$label: a commit at $3 got $answer"
  done

  # 6. Each build publishes a revision that the other takes.
  local base=1 program
  for program in "$second" "$first"; do
    rm -rf "$work/declarations"
    cp -r Declarations/restock "$work/declarations"
    printf '\n[[application]]\nname = "extra-%s"\nclass = "ordinary"\ngroups = ["restock-1"]\n' \
      "$base" >>"$work/declarations/applications.toml"
    "$program/kingcupmill" apply "$work/declarations" --base "$base" --author efua >/dev/null
    base=$((base + 1))
    for index in 1 2 3; do
      for _ in $(seq 100); do
        curl -s "http://127.0.0.1:800$index/admin/status" | grep -q "\"revision\":$base[,}]" && continue 2
        sleep 0.1
      done
      fail "$label: vm-$index does not reach revision $base"
    done
  done

  # 7. Either build drains under load, and no request is cut.
  for index in 2 1; do
    (for n in $(seq 40); do
      curl -s -o /dev/null -w '%{http_code}\n' -H "$app" \
        -d "$(sql_body "INSERT INTO freezer VALUES ($((index * 100000 + n)), 'rice')")" \
        "http://127.0.0.1:800$index/v1/statements"
    done) >"$work/codes-$index.txt" & load=$!
    sleep 0.2
    kill -TERM "${pids[$index]}"
    wait "${pids[$index]}" || fail "$label: the drained vm-$index exited with $?"
    wait "$load" || true
    if grep -qvE '^(200|000)$' "$work/codes-$index.txt"; then
      fail "$label: a request failed during the drain of vm-$index"
    fi
    local ran
    ran=$(grep -c '^200$' "$work/codes-$index.txt")
    rows=$("$first/kingcupmill" sql --proxy 127.0.0.1:8003 "${sql[@]}" \
      "SELECT count(*) FROM freezer WHERE id > $((index * 100000)) AND id < $((index * 100000 + 1000))" | sed -n 2p | tr -d '\t')
    [ "$rows" = "$ran" ] || fail "$label: vm-$index acknowledged $ran writes, $rows are there"
    echo "mixed versions: $label: vm-$index drained, $ran writes acknowledged and kept"
  done
  kill "${pids[0]}" "${pids[3]}"
  wait "${pids[0]}" "${pids[3]}" 2>/dev/null || true
  pids=()
}

tour old-then-new "$old" "$new"
tour new-then-old "$new" "$old"
for proxies in 5 20; do
  KEEP_LOGS=1 OLD_BUILD=$old Meta/soak.sh 1 "${SEEDS:-2}" "$proxies" 10
  for seed in $(seq "${SEEDS:-2}"); do
    # The settings that a soak filled in are the edge's template; both builds take them.
    for build in "$old" "$new"; do
      "$build/kingcupmill-edge" --check-settings --settings "build/soak/$seed-$proxies/proxy-0.toml" >/dev/null
    done
    for parity in 0 1; do
      for index in $(seq "$parity" 2 $((proxies - 1))); do
        cat "build/soak/$seed-$proxies/proxy-$index.log"
      done >"$work/parity.log"
      echo "mixed versions: $proxies proxies, seed $seed: $([ "$parity" = 0 ] && echo new || echo old)" \
        "build forwarded $(grep -c event=forwarded "$work/parity.log" || true) statements"
    done
    rm -rf "build/soak/$seed-$proxies"
  done
done
echo "mixed versions: both builds work together"
