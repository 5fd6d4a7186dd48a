#!/usr/bin/env bash
# Overload and fairness in virtual time, against a naive line.
set -eu
cd "$(dirname "$0")/.."
"${BUILD:-build}/bench/replay-admit"
