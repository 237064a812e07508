#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/platform ] && [ -x target/review-lab-2 ] || exit 2
RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}" exec target/review-lab-2 directory
