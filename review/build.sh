#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. Uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
