#!/bin/sh
# Builds the stand-ins of the second review, which need only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand_ins_2/main.rs
