#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the bundle of the
# deploy file: the project's own stand-ins.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --no-audit --no-fund --loglevel=error
npx tsc -b packages/stand_ins
