#!/usr/bin/env bash
# Builds the stand-ins of the third review with the standard library alone. The programs of the deploy file
# are built by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O review/standin-3/main.rs -o target/review-3/standin-3
