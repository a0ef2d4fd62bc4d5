#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/stand_ins/main.rs
