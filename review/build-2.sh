#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. The program itself is
# built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags nomsgpack -o target/review-rig2 ./review/rig2
