#!/bin/sh
# Builds the stand-ins of the second review with the Rust compiler alone, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
for name in restored ordered_back restarts leaving conflict wrong_model; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-3/$name.rs"
done
