#!/usr/bin/env bash
# Model-checks the switch of an expert map at a bounded size, and shows that
# the check fails where ranks know no fences.
set -eu
top=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

verify() { # defines...
	rm -f pan*
	spin -a "$@" "$top/model/expert_map.pml" >spin.out
	gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
	./pan -m200000 >pan.out 2>&1
	grep -E 'errors:|states, stored' pan.out
}

verify
grep -q 'errors: 0' pan.out || { cat pan.out; exit 1; }
! grep -q 'max search depth too small' pan.out
verify -DNO_FENCE
grep -q 'errors: 0' pan.out && { echo "the model misses a planted fault"; exit 1; }
echo "no step mixes two maps; without fences one does"
