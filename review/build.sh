#!/usr/bin/env bash
# Builds the program that runs the scripted cases, with all their stand-ins. The entry
# program itself is built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./review/jpreview
