#!/bin/bash
# The stand-ins of this review are plain modules; nothing has to be compiled. Checks
# their syntax, so that a broken one is found before the cases run.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
exit 0
