#!/usr/bin/env bash
# Routing in virtual time, compared with other policies and an oracle.
set -eu
cd "$(dirname "$0")/.."
"${BUILD:-build}/bench/replay-route"
