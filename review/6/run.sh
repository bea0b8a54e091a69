#!/usr/bin/env bash
# Plays the case of this folder: 1 if the rule was broken (a pass began with two maps), 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption (lost packets).
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/gateway ] && [ -x target/review-2/actors ] || exit 2
export TROUBLE=${TROUBLE:-1}
exec target/review-2/actors maps "$folder"
