#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library only. The
# project's own program comes from the build line of the deploy file.
set -eu
cd "$(dirname "$0")/6/tools/standin"
exec env GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o ../../../../target/review-2/standin .
