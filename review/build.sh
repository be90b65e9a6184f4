#!/bin/bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/standins"
go build -o ../bin/standins .
