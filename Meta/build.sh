#!/usr/bin/env bash
# Installs the packages, configures and builds everything in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build
