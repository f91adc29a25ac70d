#!/usr/bin/env bash
# Shows that requests reach the head of a serving group later than the drain bound after its entry
# was removed, through nodes that were not disturbed. Needs the build of deploy/system.toml and
# review/build-2.sh. TROUBLE=0 leaves out the disruption. Takes about 20 s.
#
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/lacewingspoke ] || [ ! -x target/review-2 ]; then
  echo "not built: run the build line of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
exec target/review-2 lapse review/8
