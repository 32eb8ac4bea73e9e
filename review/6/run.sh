#!/bin/sh
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same traffic without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/driver2 ] && [ -x target/pollencart-sidecar ] || exit 2
exec target/review/driver2 -case drain -program target/pollencart-sidecar -record "$folder/record.txt"
