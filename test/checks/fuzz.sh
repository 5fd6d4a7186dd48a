#!/usr/bin/env bash
# Runs each fuzz target briefly with a fixed seed, so that each run tests the same inputs.
set -eu
cd "$(dirname "$0")/../.."
BUILD=build-fuzz FUZZ_RUNS=20000 fuzz/run.sh
