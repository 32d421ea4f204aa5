#!/bin/sh
# Plays the case. It needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the
# disruption out. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/primrosereach ] || exit 2
exec target/review-2/standin endlost target/primrosereach review/6/record.txt
