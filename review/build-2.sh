#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in other_writer planned_stop prepared_memory; do
  g++ -std=c++20 -O1 -pthread -o "target/review-2/$program" \
    "review/standins-2/$program.cc" review/standins-2/platform_standin.cc
done
