#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/jacinthpass-entry target/jpreview; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build line of deploy/system.toml and review/build.sh" >&2
    exit 2
  fi
done
exec target/jpreview -case stale-syn -record review/4/record.txt
