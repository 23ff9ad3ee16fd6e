#!/bin/sh
# Builds the stand-ins (standard library only, no network). The project itself is built by the deploy file's command.
set -e
cd "$(dirname "$0")/.."
[ -x target/release/mintgate ] || cargo build --release --locked
cargo build --release --offline --quiet --manifest-path review/standins/Cargo.toml --target-dir target/review
