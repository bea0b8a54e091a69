#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/rehearser
