#!/bin/sh
# Builds the stand-ins and the cases 6 to 10, after the build of the deploy file. Needs no network: they use the
# standard library alone.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
