#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
