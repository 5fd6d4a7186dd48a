#!/usr/bin/env bash
# lint.sh [format|tidy]: runs the formatter and the linter; exits 1 when either has findings.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build-test}
tool=${1:-all}
status=0
mapfile -t all_files < <(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)
mapfile -t product_files < <(git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c' | grep -v pb-c)

if [ "$tool" != tidy ]; then
	clang-format --dry-run -Werror "${all_files[@]}" 2>&1 | grep error: | head -n 20
	[ "${PIPESTATUS[0]}" = 0 ] || status=1
fi
if [ "$tool" != format ]; then
	printf '%s\n' "${product_files[@]}" |
		xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$BUILD" 2>/dev/null |
		grep -E 'warning:|error:' && status=1
fi
exit $status
