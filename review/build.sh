#!/bin/sh
# Builds what the scripts of the cases start beside the build of the deploy file, into review/bin: the stand-ins, and
# the gateway with coordination between processes (the build of the deploy file leaves that out).
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/lab ./review/testdata/lab
go build -o review/bin/harrierhoist ./cmd/harrierhoist
