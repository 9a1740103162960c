#!/usr/bin/env bash
# Installs every package that the build, the formatter and the linter need.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
  libcpprest-dev libwebsocketpp-dev libcli11-dev libspdlog-dev doctest-dev
  nlohmann-json3-dev librapidcheck-dev libtomlplusplus-dev libsqlite3-dev
  libxxhash-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
# Boost.LEAF first ships in 1.75, while libcpprest-dev pins Boost 1.74, so only
# the LEAF headers are taken out of Debian's 1.81 package.
if [ ! -f build/include/boost/leaf.hpp ]; then
  scratch=$(mktemp -d)
  trap 'rm -rf "$scratch"' EXIT
  chmod 755 "$scratch"
  (cd "$scratch" && { apt-get download -qq libboost1.81-dev ||
    { apt-get update -qq && apt-get download -qq libboost1.81-dev; }; })
  dpkg-deb -x "$scratch"/libboost1.81-dev_*.deb "$scratch/boost"
  mkdir -p build/include/boost
  cp -r "$scratch/boost/usr/include/boost/leaf" build/include/boost/
  cp "$scratch/boost/usr/include/boost/leaf.hpp" build/include/boost/
fi
