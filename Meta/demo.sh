#!/usr/bin/env bash
# Installs, builds and runs both embedded arrangements; a primary is lost
# half-way. Ends with a table and build/report.json.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
build/kingcupmill-lab run --declarations Declarations/registry \
  --report build/report-registry.json --seconds "${SECONDS_EACH:-10}"
build/kingcupmill-lab run --declarations Declarations/restock \
  --report build/report.json --seconds "${SECONDS_EACH:-10}"
