#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stage-2 review/stage-2/*.go
