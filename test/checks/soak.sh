#!/usr/bin/env bash
# Runs a short seeded soak of gateways and balancers as processes, then one with a planted
# fault, which the soak must detect.
set -eu
cd "$(dirname "$0")/../.."
python3 soak/soak.py --build "$BUILD" --seed 7 --seconds 12
if python3 soak/soak.py --build "$BUILD" --seed 7 --seconds 8 --plant notrun; then
	echo "the soak did not detect the planted fault notrun"
	exit 1
fi
