#!/bin/sh
# Builds the stand-ins of the second review. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/harness-2/main.rs
