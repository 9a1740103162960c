#!/usr/bin/env bash
# Switches each protection off in turn. Every run must fail within its seeds: a
# protection whose removal nothing notices is a missing test.
set -uo pipefail
cd "$(dirname "$0")/.."
steps=2000
status=0
for guard in majority seal ledger tombstone token age connection revision; do
  found=""
  for seed in $(seq 1 "${SEEDS:-60}"); do
    if ! build/kingcupmill-lab --log-level off chaos --seed "$seed" \
      --steps "$steps" --without "$guard" >/dev/null 2>&1; then
      found=$seed
      break
    fi
  done
  if [ -n "$found" ]; then
    echo "without $guard: fails with --seed $found --steps $steps"
  else
    echo "without $guard: NOT NOTICED"
    status=1
  fi
done
exit $status
