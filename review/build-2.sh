#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review. The programs are built as the deploy file says.
set -eu
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --offline --release
