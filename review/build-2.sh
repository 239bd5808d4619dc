#!/bin/sh
# The stand-ins of cases 6 to 10 are plain modules; this checks that they load.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 2
done
