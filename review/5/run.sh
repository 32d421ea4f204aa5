#!/usr/bin/env bash
# Plays case 5. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of the deploy file and
# review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/primrosereach ] || [ ! -x review/bin/standin ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec review/bin/standin backfill review/5/record.txt
