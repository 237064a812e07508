#!/bin/sh
# Builds the stand-ins of the scripts of the second review into target/. Needs only Go.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS= go build -o target/review-lab-2 review/lab-2/*.go
