#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 to review/8: one program a case, of the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case-*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "target/review-2/${name#case-}" "$source"
done
