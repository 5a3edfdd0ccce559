#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 and 7 start. The program itself is built by the line
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/jpreview2 ./review/jpreview2
