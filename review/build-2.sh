#!/bin/sh
# Builds the stand-ins of the second review's cases. It needs the tool chain and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases-2 review/stand-ins-2/main.rs
