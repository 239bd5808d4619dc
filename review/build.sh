#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules of this folder, which
# need no build. This checks that node can read them, and that the program that
# the build of the deploy file makes is there.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
test -f ../target/applebend.mjs
