#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/platform ] && [ -x target/review-3 ] || { echo "not built"; exit 2; }
exec target/review-3 depart "$folder" target/platform
