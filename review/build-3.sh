#!/bin/sh
# Builds the stand-ins of the scripts of review 3 into target/. They use nothing but the standard library.
set -e
cd "$(dirname "$0")/rig3"
go build -o ../../target/rig3 .
