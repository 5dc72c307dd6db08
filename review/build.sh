#!/bin/sh
# Builds the stand-ins of the cases: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/harness"
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off go build -o ../.bin/harness .
