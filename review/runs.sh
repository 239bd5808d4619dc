#!/bin/sh
# Runs a case some times: runs.sh CASE [COUNT]. Prints the exit codes.
cd "$(dirname "$0")"
for i in $(seq "${2:-5}"); do
  "$1/run.sh" > /dev/null 2>&1
  printf '%s ' "$?"
done
TROUBLE=0 "$1/run.sh" > /dev/null 2>&1
echo "without the disruption: $?"
