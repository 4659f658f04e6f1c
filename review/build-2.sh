#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, offline, from libraries that the project has.
cd "$(dirname "$0")/standin-2" || exit 2
exec cargo build --release --offline --locked
