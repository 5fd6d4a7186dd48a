#!/usr/bin/env bash
# Routing in virtual time, against its rivals and an oracle.
set -eu
cd "$(dirname "$0")/.."
"${BUILD:-build}/bench/replay-route"
