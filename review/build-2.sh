#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 2 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/again ./review/again
