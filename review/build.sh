#!/usr/bin/env bash
# Builds the one program of stand-ins that the cases start: clients, hosts, discovery and a delaying proxy.
# It uses the standard library alone, so that it builds without a network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/harness harness/src/main.rs
