#!/usr/bin/env bash
# Plays the second way to the same fault; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec node review/1/odd_entry.mjs
