#!/usr/bin/env bash
# Builds the stand-ins of the review, offline, from libraries that the build of the deploy file has fetched.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline --target-dir ../../target/review
