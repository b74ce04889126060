#!/bin/sh
# The stand-ins of review/4 to review/8 are plain ECMAScript modules: nothing is compiled, only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
