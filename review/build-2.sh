#!/bin/sh
# Builds what the cases 6 to 10 start: the scheduler by the deploy file's command, if it is not built, and the stand-ins with the compiler
# alone, as they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
[ -x target/release/mintgate ] || cargo build --release --locked
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/trial review/standins-2/main.rs
