#!/usr/bin/env bash
# Model-checks the expert map switch at a bounded size, and verifies that the check fails when
# ranks ignore fencing tokens.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

run_model() { # defines...
	rm -f pan*
	spin -a "$@" "$root/model/expert_map.pml" >spin.out
	gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
	./pan -m200000 >pan.out 2>&1
	grep -E 'errors:|states, stored' pan.out
}

run_model
grep -q 'errors: 0' pan.out || { cat pan.out; exit 1; }
! grep -q 'max search depth too small' pan.out
run_model -DNO_FENCE
grep -q 'errors: 0' pan.out && { echo "the model check did not fail without fencing tokens"; exit 1; }
echo "no step runs on two maps; without fencing tokens one does"
