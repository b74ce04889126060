#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules in review/lib and need no compiling; this checks that each one can be parsed.
set -e
cd "$(dirname "$0")"
for module in lib/*.mjs [123]/*.mjs; do node --check "$module"; done
