#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network: they have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml \
    --target-dir target/review-stand-ins-2
