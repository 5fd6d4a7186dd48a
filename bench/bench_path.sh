#!/usr/bin/env bash
# What the path through entry and sidecar adds to the stand-in asked directly:
# latency, processor time per token, streams held at once, memory, start-up.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
PORT_BASE=${PORT_BASE:-24000}
TOKEN_US=20000
CAPACITY=2000
HTTP_THREADS=640
STACK_KIB=128
. scripts/world.sh
trap stop_all EXIT

cpu_ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
rss_kib() { awk '/VmRSS/ {print $2}' "/proc/${PID[$1]}/status"; }
field() { sed -nE "s/.*\b$2=([0-9.]+).*/\1/p" <<<"$1"; }

start_kv
start_engine 1
start_sidecar 1 nairobi engine assistant
list_sidecar 1 nairobi live
before=$(date +%s%N)
start_entry 1 nairobi
after=$(date +%s%N)
list_entry 1 nairobi live
write_manifest "$WORK/manifest.toml" bench
sed -i 's/^priority = "counter"/priority = "counter"\nrate_per_s = 100000.0\nburst = 100000\nmax_in_flight = 100000/' "$WORK/manifest.toml"
"$SKH" apply --store "$KV" "$WORK/manifest.toml" >/dev/null || exit 1
wait_until peer_ready 1 1 || exit 1
direct="http://127.0.0.1:$(($(sidecar_port 1) + 2))/v1/completions"
through="http://127.0.0.1:$(entry_port 1)/v1/completions"

echo "start-up of an entry until it answers: $(((after - before) / 1000000)) ms (polled each 100 ms)"
echo "memory at rest: entry $(rss_kib entry-1) KiB, sidecar $(rss_kib sidecar-1) KiB"

# The token pause would hide the path, so whole answers have one token without it.
echo
echo "added latency of a whole answer of one token, in turn direct and through, microseconds"
line=$("$BUILD/bench/load" latency "$direct" "$through" 2000) || exit 1
a50=$(field "$line" a_p50) a99=$(field "$line" a_p99)
b50=$(field "$line" b_p50) b99=$(field "$line" b_p99)
printf '%-8s %8s %8s\n' "" p50 p99 direct "$a50" "$a99" through "$b50" "$b99" \
	added "$((b50 - a50))" "$((b99 - a99))"

echo
echo "streams at once, 200 tokens each, one token each 20 ms"
printf '%8s %8s %12s %12s %12s %12s %14s %14s %10s %10s\n' streams whole "direct p50" "direct p99" \
	"lag p50 us" "lag p99 us" "entry us/tok" "sidecar us/tok" "entry KiB" "side KiB"
for n in 1 50 200 500; do
	line_direct=$("$BUILD/bench/load" streams "$direct" "$n" 200)
	entry_before=$(cpu_ticks entry-1) side_before=$(cpu_ticks sidecar-1)
	"$BUILD/bench/load" streams "$through" "$n" 200 >"$WORK/load.out" &
	load=$!
	sleep 3
	entry_rss=$(rss_kib entry-1) side_rss=$(rss_kib sidecar-1)
	wait $load
	line=$(cat "$WORK/load.out")
	tokens=$((n * 200))
	entry_us=$(awk -v t=$(($(cpu_ticks entry-1) - entry_before)) -v n=$tokens 'BEGIN {printf "%.1f", t * 10000 / n}')
	side_us=$(awk -v t=$(($(cpu_ticks sidecar-1) - side_before)) -v n=$tokens 'BEGIN {printf "%.1f", t * 10000 / n}')
	printf '%8s %8s %12s %12s %12s %12s %14s %14s %10s %10s\n' "$n" "$(field "$line" whole)" \
		"$(field "$line_direct" lag_p50)" "$(field "$line_direct" lag_p99)" \
		"$(field "$line" lag_p50)" "$(field "$line" lag_p99)" "$entry_us" "$side_us" \
		"$entry_rss" "$side_rss"
done
