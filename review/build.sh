#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are a module of their own without dependencies, so
# that they stay out of the build, the tests and the CI of the project.
set -euo pipefail
cd "$(dirname "$0")/tools/standin"
GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -buildvcs=false -o ../../bin/standin .
