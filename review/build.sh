#!/bin/sh
# Builds the stand-ins that the cases start. The daemon is built by the deploy file.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review
GOFLAGS="${GOFLAGS:-} -buildvcs=false" GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review/rig .
