#!/bin/sh
# The stand-ins of the cases are plain modules and need no compiler: this checks
# that each can be parsed, and that the program of the deploy file is built.
set -eu
cd "$(dirname "$0")"
for module in lib/*.mjs [0-9]/*.mjs; do
  node --check "$module"
done
test -f ../target/anvilrudder-gateway.mjs
