#!/bin/sh
# Builds the stand-ins that the scripts start. The program of the platform is built by the
# build command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc -O --edition 2024 review/standin/main.rs -o target/review/standin
