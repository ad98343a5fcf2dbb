#!/bin/bash
# Builds the stand-ins of cases 6 to 10: modules in their folders that Node runs
# as they are.
set -e
cd "$(dirname "$0")/.."
for module in review/{6,7,8,9,10}/*.mjs; do
  if [ -e "$module" ]; then
    node --check "$module"
  fi
done
