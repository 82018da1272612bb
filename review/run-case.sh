#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Ends all its processes after 115 s, or when this script is ended.
set -u
name=$1 folder=$2
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export TROUBLE=${TROUBLE:-1}
program=review/stand-ins/target/release/figdeal-review
if [ ! -x "$program" ]; then
    echo "the case could not run: review/build.sh has not been run"
    exit 2
fi
"$program" "$name" "$folder/record.txt" &
pid=$!

end_all() {
    local children
    children=$(cat /proc/"$pid"/task/*/children 2>/dev/null)
    # shellcheck disable=SC2086
    kill -KILL "$pid" $children 2>/dev/null
}

trap 'end_all; exit 2' TERM INT
for _ in $(seq 1150); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
    echo "the case could not run: no result after 115 s"
    end_all
    exit 2
fi
wait "$pid"
