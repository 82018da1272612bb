#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
export TROUBLE=${TROUBLE:-1}
exec review/stand-ins/target/release/figdeal-review refused "$folder/record.txt"
