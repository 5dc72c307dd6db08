#!/bin/sh
# Builds the stand-ins of the cases: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off go build -buildvcs=false -o ../.bin/harness .
