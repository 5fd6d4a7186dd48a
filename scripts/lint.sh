#!/usr/bin/env bash
# lint.sh [format|tidy]: the formatter and the linter, both without findings.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build-test}
what=${1:-all}
status=0
mapfile -t all < <(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)
mapfile -t product < <(git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c' | grep -v pb-c)

if [ "$what" != tidy ]; then
	clang-format --dry-run -Werror "${all[@]}" 2>&1 | grep error: | head -n 20
	[ "${PIPESTATUS[0]}" = 0 ] || status=1
fi
if [ "$what" != format ]; then
	printf '%s\n' "${product[@]}" |
		xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$BUILD" 2>/dev/null |
		grep -E 'warning:|error:' && status=1
fi
exit $status
