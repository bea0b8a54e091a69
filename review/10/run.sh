#!/usr/bin/env bash
# Exits with 1 if a stream was cut, 0 if not, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." && exec target/review-2/actors stop "$folder"
