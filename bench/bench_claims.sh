#!/usr/bin/env bash
# POSTs with an idempotency key through entry, sidecar and a plain service, and the store
# transactions that write their claims and results.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
PORT_BASE=${PORT_BASE:-27000}
CAPACITY=512
HTTP_THREADS=512
. scripts/world.sh
trap stop_all EXIT
field() { sed -nE "s/.*\b$2=([0-9.]+).*/\1/p" <<<"$1"; }
get_txn_count() { curl -s "$KV/counts" | sed -nE 's/.*"txn":([0-9]+).*/\1/p'; }

start_kv
start_plain 1
start_sidecar 1 nairobi plain ledger
list_sidecar 1 nairobi live
start_entry 1 nairobi
list_entry 1 nairobi live
write_manifest "$WORK/manifest.toml" bench
sed -i 's/^priority = "counter"/priority = "counter"\nrate_per_s = 100000.0\nburst = 100000\nmax_in_flight = 100000/' "$WORK/manifest.toml"
"$SKH" apply --store "$KV" "$WORK/manifest.toml" >/dev/null || exit 1
wait_until peer_ready 1 1 || exit 1

echo "keyed posts at one sidecar, by posts under way at once"
printf '%10s %8s %8s %10s %10s %10s %14s %10s\n' "under way" posts good posts/s "p50 us" "p99 us" "transactions/s" "a post"
for concurrency in 1 16 64 256; do
	n=$((concurrency * 40))
	txns_before=$(get_txn_count)
	line=$("$BUILD/bench/load" keyed "http://127.0.0.1:$(entry_port 1)/services/ledger/$concurrency" "$n" "$concurrency") || exit 1
	n_txns=$(($(get_txn_count) - txns_before))
	rate=$(field "$line" per_s)
	printf '%10s %8s %8s %10s %10s %10s %14s %10s\n' "$concurrency" "$n" "$(field "$line" good)" "$rate" \
		"$(field "$line" p50)" "$(field "$line" p99)" \
		"$(awk -v txns="$n_txns" -v n="$n" -v rate="$rate" 'BEGIN {printf "%.0f", txns * rate / n}')" \
		"$(awk -v txns="$n_txns" -v n="$n" 'BEGIN {printf "%.2f", txns / n}')"
done
