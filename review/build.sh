#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stage.rs -o target/review/stage
