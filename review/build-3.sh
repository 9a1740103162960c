#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and later into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=review/standins-3
output=build-review-3
mkdir -p "$output"
common=(socket record platform database_server deployment reader)
for name in "${common[@]}"; do
  g++ -std=c++20 -O1 -c "$sources/$name.cc" -o "$output/$name.o" &
done
wait
objects=("${common[@]/#/$output/}")
objects=("${objects[@]/%/.o}")
for program in large_result hup_answer; do
  g++ -std=c++20 -O1 -pthread "$sources/$program.cc" \
    "${objects[@]}" -o "$output/$program"
done
