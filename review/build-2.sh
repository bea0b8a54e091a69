#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, besides the programs of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/actors ./review/actors
