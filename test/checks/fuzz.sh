#!/usr/bin/env bash
# A short pass of every fuzz target from a fixed seed, the same each time.
set -eu
cd "$(dirname "$0")/../.."
BUILD=build-fuzz FUZZ_RUNS=20000 fuzz/run.sh
