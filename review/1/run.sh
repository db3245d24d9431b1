#!/usr/bin/env bash
# Plays the case of claim.txt against the program that the deploy file builds. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
[ -x ../../bin/review-standin ] && [ -x ../../target/lovagestack ] || exit 2
exec timeout -k 5 115 ../../bin/review-standin --program ../../target/lovagestack --record record.txt antiAffinity
