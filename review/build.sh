#!/usr/bin/env bash
# Builds what the scripts of the cases start, beside the programs of the deploy file: the player with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/player
