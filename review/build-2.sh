#!/usr/bin/env bash
# Builds the stand-ins and the player of the second review's scripts, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/driver2
