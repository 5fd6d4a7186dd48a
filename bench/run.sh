#!/usr/bin/env bash
# make bench: runs every bench and prints its tables.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
for bench in bench/bench_*.sh; do
	"$bench" || exit 1
done
