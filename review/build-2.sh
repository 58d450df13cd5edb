#!/bin/sh
# Builds the stand-ins of the second review: one program, of the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rs
