#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain JavaScript without
# dependencies, so there is nothing to compile; each file is checked. Each case
# has its own copies, which must be the same.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/[1-5]/*.mjs; do
  node --check "$file"
done
for name in client machine play server store; do
  for case in 2 3 4; do
    cmp "review/1/$name.mjs" "review/$case/$name.mjs"
  done
done
