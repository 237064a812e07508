#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
