#!/usr/bin/env bash
# make bench: every table, each figure measured in this run.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
for bench in bench/bench_*.sh; do
	"$bench" || exit 1
done
