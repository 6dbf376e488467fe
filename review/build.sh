#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no library but Rust's own.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
