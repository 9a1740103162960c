#!/usr/bin/env bash
# Runs crowds of badly behaved clients against proxies on loopback and checks that
# the proxies live, stay within memory and descriptors, and serve an ordinary
# session: Meta/hostile_clients.sh [PORT] [ONLY]
# ONLY selects the crowds whose names contain it. Logs of a failed run stay in
# build/hostile_clients.
set -euo pipefail
cd "$(dirname "$0")/.."
port=${1:-22000}
only=${2:-}
folder=build/hostile_clients/$port
rm -rf "$folder"
mkdir -p "$folder"
build/kingcupmill-clients --folder "$folder" --base-port "$port" --only "$only"
rm -rf "$folder"
