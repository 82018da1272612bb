#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, without a network. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline
