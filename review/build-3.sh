#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15 with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/harness-3/main.rs
