#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs of the project come from the
# build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
