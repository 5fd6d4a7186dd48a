#!/usr/bin/env bash
# Expert balance in virtual time, compared with a static placement and full recomputation.
set -eu
cd "$(dirname "$0")/.."
"${BUILD:-build}/bench/replay-balance"
