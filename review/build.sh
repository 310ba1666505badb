#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline --locked
