#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1 GOFLAGS=-buildvcs=false
mkdir -p review/bin
go build -o review/bin/ ./review/standins-3/...
