#!/usr/bin/env bash
# Checks formatting and runs vet and staticcheck.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  echo "not formatted:"
  echo "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
