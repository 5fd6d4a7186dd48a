#!/usr/bin/env bash
# A short seeded soak of gateways and balancers as processes, then one with a
# planted fault, which must be found.
set -eu
cd "$(dirname "$0")/../.."
python3 soak/soak.py --build "$BUILD" --seed 7 --seconds 12
if python3 soak/soak.py --build "$BUILD" --seed 7 --seconds 8 --plant notrun; then
	echo "the soak misses a planted fault"
	exit 1
fi
