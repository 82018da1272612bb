#!/usr/bin/env bash
# Runs this case against target/release. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. KEEP=1 keeps the output of the processes.
set -u
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
for program in figdeal figdeal-agent; do
  [ -x "../../target/release/$program" ] || { echo "cannot run: no target/release/$program"; exit 2; }
done
timeout -k 2 118 python3 -B case.py record.txt &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
