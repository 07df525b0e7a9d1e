#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, without a network and without other packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2/main.rs
