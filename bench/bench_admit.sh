#!/usr/bin/env bash
# Overload and fairness of the gates in virtual time, compared with a naive queue.
set -eu
cd "$(dirname "$0")/.."
"${BUILD:-build}/bench/replay-admit"
