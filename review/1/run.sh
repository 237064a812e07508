#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec target/review-standin lost-watch review/1/record.txt
