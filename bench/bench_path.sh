#!/usr/bin/env bash
# Overhead of the path through entry and sidecar compared with direct requests to the
# stand-in engine: latency, CPU time per token, concurrent streams, memory and start-up time.
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

get_cpu_ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
get_rss_kib() { awk '/VmRSS/ {print $2}' "/proc/${PID[$1]}/status"; }
field() { sed -nE "s/.*\b$2=([0-9.]+).*/\1/p" <<<"$1"; }

start_kv
start_engine 1
start_sidecar 1 nairobi engine assistant
list_sidecar 1 nairobi live
start_ns=$(date +%s%N)
start_entry 1 nairobi
end_ns=$(date +%s%N)
list_entry 1 nairobi live
write_manifest "$WORK/manifest.toml" bench
sed -i 's/^priority = "counter"/priority = "counter"\nrate_per_s = 100000.0\nburst = 100000\nmax_in_flight = 100000/' "$WORK/manifest.toml"
"$SKH" apply --store "$KV" "$WORK/manifest.toml" >/dev/null || exit 1
wait_until peer_ready 1 1 || exit 1
direct="http://127.0.0.1:$(($(sidecar_port 1) + 2))/v1/completions"
through="http://127.0.0.1:$(entry_port 1)/v1/completions"

echo "start-up of an entry until it answers: $(((end_ns - start_ns) / 1000000)) ms (polled each 100 ms)"
echo "memory at rest: entry $(get_rss_kib entry-1) KiB, sidecar $(get_rss_kib sidecar-1) KiB"

# The delay between tokens would hide the added latency, so each response has one token.
echo
echo "added latency of a whole answer of one token, in turn direct and through, microseconds"
line=$("$BUILD/bench/load" latency "$direct" "$through" 2000) || exit 1
direct_p50=$(field "$line" a_p50) direct_p99=$(field "$line" a_p99)
through_p50=$(field "$line" b_p50) through_p99=$(field "$line" b_p99)
printf '%-8s %8s %8s\n' "" p50 p99 direct "$direct_p50" "$direct_p99" \
	through "$through_p50" "$through_p99" \
	added "$((through_p50 - direct_p50))" "$((through_p99 - direct_p99))"

echo
echo "streams at once, 200 tokens each, one token each 20 ms"
printf '%8s %8s %12s %12s %12s %12s %14s %14s %10s %10s\n' streams whole "direct p50" "direct p99" \
	"lag p50 us" "lag p99 us" "entry us/tok" "sidecar us/tok" "entry KiB" "side KiB"
for n in 1 50 200 500; do
	line_direct=$("$BUILD/bench/load" streams "$direct" "$n" 200)
	entry_before=$(get_cpu_ticks entry-1) sidecar_before=$(get_cpu_ticks sidecar-1)
	"$BUILD/bench/load" streams "$through" "$n" 200 >"$WORK/load.out" &
	load_pid=$!
	sleep 3
	entry_rss=$(get_rss_kib entry-1) sidecar_rss=$(get_rss_kib sidecar-1)
	wait $load_pid
	line=$(cat "$WORK/load.out")
	tokens=$((n * 200))
	# A clock tick is 10000 microseconds of CPU time.
	entry_us=$(awk -v ticks=$(($(get_cpu_ticks entry-1) - entry_before)) -v n=$tokens 'BEGIN {printf "%.1f", ticks * 10000 / n}')
	sidecar_us=$(awk -v ticks=$(($(get_cpu_ticks sidecar-1) - sidecar_before)) -v n=$tokens 'BEGIN {printf "%.1f", ticks * 10000 / n}')
	printf '%8s %8s %12s %12s %12s %12s %14s %14s %10s %10s\n' "$n" "$(field "$line" whole)" \
		"$(field "$line_direct" lag_p50)" "$(field "$line_direct" lag_p99)" \
		"$(field "$line" lag_p50)" "$(field "$line" lag_p99)" "$entry_us" "$sidecar_us" \
		"$entry_rss" "$sidecar_rss"
done
