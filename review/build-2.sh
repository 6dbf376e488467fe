#!/bin/sh
# Builds the stand-ins of the second review, with nothing but the toolchain.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O --crate-name review_2 -o target/review-2/review-2 review/standin-2/main.rs
