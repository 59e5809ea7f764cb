#!/bin/sh
# Builds the stand-ins of the scripts in review/N/. The product is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/play
