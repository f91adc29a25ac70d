#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's own programs
# come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin2
