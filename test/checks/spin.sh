#!/usr/bin/env bash
# Model-checks the expert map switch, a map change whose lease passes to another coordinator, and a
# rank that restarts into another group, at a bounded size. Verifies that each check fails when a
# rule that it is about is left out.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

run_model() { # model defines...
	local model=$1
	shift
	rm -f pan*
	spin -a "$@" "$root/model/$model.pml" >spin.out
	gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
	./pan -m200000 >pan.out 2>&1
	grep -E 'errors:|states, stored' pan.out
}

check_holds() { # model
	run_model "$1"
	grep -q 'errors: 0' pan.out || { cat pan.out; exit 1; }
	! grep -q 'max search depth too small' pan.out || exit 1
}

check_fails() { # model define
	run_model "$1" "$2"
	grep -q 'assertion violated' pan.out || { echo "the check of $1 did not fail with $2"; exit 1; }
}

check_holds expert_map
check_fails expert_map -DNO_FENCE
check_holds lease_passed_on
check_fails lease_passed_on -DNO_FENCE
check_fails lease_passed_on -DNO_GUARD
check_fails lease_passed_on -DSAME_PASS
check_holds two_groups
check_fails two_groups -DNO_GROUP_CHECK
echo "the properties hold; each fails when a rule is left out"
