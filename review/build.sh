#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/$(basename "$source" .cc)"
done
