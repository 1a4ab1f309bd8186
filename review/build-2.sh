#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are plain modules, so that there is
# nothing to compile; the program itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[0-9]*/case.mjs review/[0-9]*/runner.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
if [ ! -e target/anvilrudder-gateway.mjs ]; then
  echo 'target/anvilrudder-gateway.mjs is missing: run the build of deploy/system.toml' >&2
  exit 1
fi
