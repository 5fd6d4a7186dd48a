#!/usr/bin/env bash
# Builds with AddressSanitizer and UndefinedBehaviorSanitizer and runs all checks.
# The last line of output is "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-build-test}
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
export LSAN_OPTIONS="suppressions=$PWD/test/lsan.supp:print_suppressions=0"
export RC_PARAMS="seed=7"
passed=0
failed=0
known_red=0

# A failure of a check that KNOWN-RED.txt lists is printed, but not counted as failed.
is_known_red() { [ -f KNOWN-RED.txt ] && grep -q "^$1\( \|$\)" KNOWN-RED.txt; }

record_result() { # name status
	if [ "$2" = 0 ]; then
		passed=$((passed + 1))
	elif is_known_red "$1"; then
		known_red=$((known_red + 1))
		echo "KNOWN RED $1"
	else
		failed=$((failed + 1))
		echo "FAILED $1"
	fi
}

cmake -S . -B "$BUILD" -G Ninja -DSKH_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug >/dev/null &&
	cmake --build "$BUILD" >"$BUILD/build.log" 2>&1
status=$?
[ $status = 0 ] || grep -E 'error|FAILED' "$BUILD/build.log" | head -n 50
record_result build $status

run_unit_tests() {
	local name status
	"$BUILD/test/unit" --gtest_brief=0 >"$BUILD/unit.log" 2>&1
	while read -r name status; do
		record_result "unit $name" "$status"
	done < <(sed -nE 's/^\[       OK \] ([^ ]+).*/\1 0/p; s/^\[  FAILED  \] ([^ ,]+) \(.*/\1 1/p' "$BUILD/unit.log")
	grep -q '^\[  PASSED  \]' "$BUILD/unit.log"
	record_result "unit run" $?
	grep -E -B 12 '^\[  FAILED  \].*ms\)$|ERROR: |runtime error' "$BUILD/unit.log" | head -n 80
}

# Each run writes its exit status to a file: in a long run the kernel reuses the process IDs of
# runs that have ended, and bash then loses their status.
run_scripts() {
	local file name index=0
	for file in test/scripts/*.txt; do
		name=$(basename "$file" .txt)
		rm -f "$BUILD/script-$name.status"
		{
			PORT_BASE=$((22000 + 200 * index)) test/run_script.sh "$file" \
				>"$BUILD/script-$name.log" 2>&1
			echo $? >"$BUILD/script-$name.status"
		} &
		index=$((index + 1))
		# At most 3 runs in parallel, as each run starts a complete system and some checks need its timers.
		while [ "$(jobs -rp | wc -l)" -ge 3 ]; do sleep 0.05; done
	done
	wait
	for file in test/scripts/*.txt; do
		name=$(basename "$file" .txt)
		status=$(cat "$BUILD/script-$name.status" 2>/dev/null || echo 1)
		[ "$status" = 0 ] || tail -n 60 "$BUILD/script-$name.log"
		record_result "script $name" "$status"
	done
}

if [ $status = 0 ]; then
	run_unit_tests
	run_scripts
	for check in test/checks/*.sh; do
		[ -e "$check" ] || continue
		"$check" >"$BUILD/check.log" 2>&1
		status=$?
		[ $status = 0 ] || tail -n 40 "$BUILD/check.log"
		record_result "check $(basename "$check" .sh)" $status
	done
fi
scripts/lint.sh format
record_result format $?
scripts/lint.sh tidy
record_result lint $?
[ $known_red = 0 ] || { echo "known red:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ $failed = 0 ]
