#!/usr/bin/env bash
# Builds the stand-ins of all scripts. Needs only Go and the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
