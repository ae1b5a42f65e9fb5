#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/. It needs the standard library only, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-stage2 ./review/testdata/stage2
