#!/usr/bin/env bash
# Sends wrong requests to a daemon and checks that each gets its clear answer
# and that the daemon goes on serving. Started by Meta/by_hand.sh.
set -euo pipefail
proxy=${1:?the HTTP address of a proxy}
app='Kingcupmill-Application: shop-orders'
expect() {
  local wanted=$1 got
  shift
  got=$(curl -s -o /dev/null -m 20 -w '%{http_code}' "$@")
  [ "$got" = "$wanted" ] || { echo "hostile: $got instead of $wanted for $*" >&2; exit 1; }
}
url="http://$proxy/v1/statements"
ok='{"group":"restock-1","sql":"SELECT 1"}'
expect 400 -d "$ok" "$url"
expect 403 -H 'Kingcupmill-Application: nobody' -d "$ok" "$url"
expect 400 -H "$app" -d '{"group":' "$url"
expect 400 -H "$app" -d '[]' "$url"
expect 400 -H "$app" -d '{"group":"restock-1"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"SELECT 1","color":"red"}' "$url"
expect 404 -H "$app" -d '{"group":"nowhere","sql":"SELECT 1"}' "$url"
expect 400 -H "$app" -H 'Kingcupmill-Session: 1:restock-1,1,9;.00' -d "$ok" "$url"
expect 400 -H "$app" -H 'Idempotency-Key: a b' -d "$ok" "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"SELECT ?"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"SELECT 1; SELECT 2"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"DELETE FROM freezer","access":"read"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"PRAGMA user_version = 7"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"DELETE FROM kingcupmill_requests"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"INSERT INTO freezer VALUES (random(), 1)"}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"SELECT 1","parameters":{"a":1}}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"SELECT 1","deadline_ms":-1}' "$url"
expect 400 -H "$app" -d '{"group":"restock-1","sql":"SELECT 1","max_age_ms":"old"}' "$url"
expect 405 -H "$app" "$url"
expect 404 -H "$app" -d "$ok" "http://$proxy/v1/nothing"
expect 503 -H "$app" -d '{"group":"restock-1"}' "http://$proxy/v1/transactions/nobody~1/commit"
expect 404 "http://$proxy/"
expect 405 -X DELETE "http://$proxy/health"
expect 405 -X BREW "http://$proxy/v1/statements" -H "$app"
head -c 3000000 /dev/zero | tr '\0' 'a' >build/large_body.txt
expect 413 -H "$app" -d @build/large_body.txt "$url"
expect 413 -H "$app" -H 'Transfer-Encoding: chunked' -d @build/large_body.txt "$url"
# A result arrives whole, or not at all when it is larger than the limit.
rows() {
  echo "{\"group\":\"restock-1\",\"access\":\"read\",\"deadline_ms\":15000,\"sql\":\"WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n WHERE x < $1) SELECT x, 'abcdefghijabcdefghijabcdefghijabcdefghijabcdefghij' FROM n\"}"
}
curl -s -m 20 -H "$app" -d "$(rows 200000)" "$url" >build/large_result.txt
[ "$(grep -o 'abcdefghijabcdefghijabcdefghijabcdefghijabcdefghij"\]' build/large_result.txt | wc -l)" = 200000 ] ||
  { echo "hostile: a large result is not whole" >&2; exit 1; }
expect 400 -H "$app" -d "$(rows 400000)" "$url"
# A request id used again with another statement is refused.
expect 200 -H "$app" -H 'Idempotency-Key: order-1' -d '{"group":"restock-1","sql":"INSERT INTO freezer VALUES (9001, 1)"}' "$url"
expect 200 -H "$app" -H 'Idempotency-Key: order-1' -d '{"group":"restock-1","sql":"INSERT INTO freezer VALUES (9001, 1)"}' "$url"
expect 409 -H "$app" -H 'Idempotency-Key: order-1' -d '{"group":"restock-1","sql":"INSERT INTO freezer VALUES (9002, 1)"}' "$url"
# The fate of a request that never came is settled as not run, for good.
expect 503 -H "$app" "http://$proxy/v1/requests/restock-1/order-2"
expect 503 -H "$app" -H 'Idempotency-Key: order-2' -d '{"group":"restock-1","sql":"INSERT INTO freezer VALUES (9003, 1)"}' "$url"
expect 200 -H "$app" "http://$proxy/v1/requests/restock-1/order-1"
expect 200 -H "$app" -d "$ok" "$url"
expect 200 "http://$proxy/health"
echo "hostile: every wrong request got its answer"
