#!/usr/bin/env bash
# Builds the stand-ins of the third review. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/11/tools/standin"
mkdir -p ../../../../target/review-3
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../../../../target/review-3/standin3 .
