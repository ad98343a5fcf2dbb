#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain JavaScript without
# dependencies, so there is nothing to compile; each file is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/*.mjs; do
  node --check "$file"
done
