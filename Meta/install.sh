#!/usr/bin/env bash
# Installs every package that the build, the formatter and the linter need.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
  libcpprest-dev libwebsocketpp-dev libcli11-dev libspdlog-dev doctest-dev
  nlohmann-json3-dev librapidcheck-dev libtomlplusplus-dev libsqlite3-dev
  libxxhash-dev libssl-dev libexpected-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
