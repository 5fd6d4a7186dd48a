#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each on its corpus: FUZZ_RUNS inputs with a
# fixed seed if set, else for FUZZ_SECONDS. Failing inputs are written to BUILD/findings.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build-fuzz}
CC=clang CXX=clang++ cmake -S . -B "$BUILD" -G Ninja -DSKH_FUZZ=ON -DSKH_SANITIZE=ON \
	-DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$BUILD" --target fuzz-frame fuzz-manifest fuzz-settings fuzz-json \
	fuzz-fleet fuzz-http >"$BUILD/build.log" ||
	{ tail -n 30 "$BUILD/build.log"; exit 1; }
mkdir -p "$BUILD/findings"
if [ -n "${FUZZ_RUNS:-}" ]; then
	limit=(-seed=7 "-runs=$FUZZ_RUNS")
else
	limit=("-max_total_time=${FUZZ_SECONDS:-60}")
fi
status=0
for name in frame manifest settings json fleet http; do
	work_corpus="$BUILD/corpus-$name"
	rm -rf "$work_corpus"
	mkdir -p "$work_corpus"
	echo "fuzz $name"
	"$BUILD/fuzz/fuzz-$name" "${limit[@]}" -rss_limit_mb=2048 -timeout=10 -max_len=4096 \
		-artifact_prefix="$BUILD/findings/$name-" "$work_corpus" "fuzz/corpus/$name" \
		>"$BUILD/fuzz-$name.log" 2>&1 || status=1
	grep -E 'DONE|ERROR|SUMMARY|Done' "$BUILD/fuzz-$name.log" | tail -n 3
done
exit $status
