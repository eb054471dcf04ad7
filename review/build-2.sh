#!/bin/sh
# Builds the stand-ins of the second review: the platform, its operator, workers and clients in
# one program. It needs no module but the standard library.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
CGO_ENABLED=0 go build -o ../../target/review-2/standin2 .
