#!/usr/bin/env bash
# make capacity: measures the figures of docs/CAPACITY.md, at least three points per slope.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
PORT_BASE=${PORT_BASE:-26000}
REST_S=${REST_S:-10}
. scripts/world.sh
trap stop_all EXIT

get_cpu_ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
get_rss_kib() { awk '/VmRSS/ {print $2}' "/proc/${PID[$1]}/status"; }
get_metric() { # admin-port name
	curl -s "http://127.0.0.1:$1/metrics" | awk -v n="skylarkhead_$2_total" '$1 == n {print $2}'
}
entry_admin_port() { echo $(($(entry_port "$1") + 1)); }
sidecar_admin_port() { echo $(($(sidecar_port "$1") + 1)); }

# Prints CPU time, control traffic and memory of entry 1 and sidecar 1 without requests.
# A clock tick is 10 ms, so ticks per second are percent of one CPU.
print_idle_row() { # label
	local entry_ticks sidecar_ticks entry_bytes sidecar_bytes
	entry_ticks=$(get_cpu_ticks entry-1) sidecar_ticks=$(get_cpu_ticks sidecar-1)
	entry_bytes=$(($(get_metric "$(entry_admin_port 1)" control_bytes_in) + $(get_metric "$(entry_admin_port 1)" control_bytes_out)))
	sidecar_bytes=$(($(get_metric "$(sidecar_admin_port 1)" control_bytes_in) + $(get_metric "$(sidecar_admin_port 1)" control_bytes_out)))
	sleep "$REST_S"
	awk -v label="$1" -v s="$REST_S" \
		-v entry_ticks=$(($(get_cpu_ticks entry-1) - entry_ticks)) -v sidecar_ticks=$(($(get_cpu_ticks sidecar-1) - sidecar_ticks)) \
		-v entry_bytes=$(($(get_metric "$(entry_admin_port 1)" control_bytes_in) + $(get_metric "$(entry_admin_port 1)" control_bytes_out) - entry_bytes)) \
		-v sidecar_bytes=$(($(get_metric "$(sidecar_admin_port 1)" control_bytes_in) + $(get_metric "$(sidecar_admin_port 1)" control_bytes_out) - sidecar_bytes)) \
		-v entry_rss="$(get_rss_kib entry-1)" -v sidecar_rss="$(get_rss_kib sidecar-1)" \
		'BEGIN {printf "%-22s %9.2f%% %8.0f %9d %9.2f%% %8.0f %9d\n", label,
			entry_ticks / s, entry_bytes / s, entry_rss,
			sidecar_ticks / s, sidecar_bytes / s, sidecar_rss}'
}

print_header() {
	printf '%-22s %10s %8s %9s %10s %8s %9s\n' "$1" "entry cpu" "B/s" KiB "side cpu" "B/s" KiB
}

start_kv
start_sidecar 1 nairobi engine assistant
list_sidecar 1 nairobi live
start_entry 1 nairobi
list_entry 1 nairobi live
write_manifest "$WORK/manifest.toml" capacity
"$SKH" apply --store "$KV" "$WORK/manifest.toml" >/dev/null || exit 1
wait_until peer_ready 1 1 || exit 1

echo "at rest, by sidecars that one entry knows ($REST_S s each)"
print_header sidecars
n_sidecars=1
for n in 1 20 60; do
	for ((i = n_sidecars + 1; i <= n; i++)); do
		start_sidecar "$i" nairobi engine assistant
		list_sidecar "$i" nairobi live
	done
	n_sidecars=$n
	wait_until peer_ready 1 "$n"
	print_idle_row "$n"
done
for ((i = 2; i <= n_sidecars; i++)); do
	unlist "sidecar-$i"
	signal "sidecar-$i" KILL
	reap "sidecar-$i"
done

echo
echo "a manifest by its customers: apply, time in force, bytes kept and fetched, entry memory"
printf '%10s %10s %12s %12s %12s %10s\n' customers "apply ms" "head bytes" "all parts" "one change" "entry KiB"
for n in 100 800 1700; do
	write_manifest "$WORK/big.toml" "capacity $n"
	for ((i = 1; i <= n; i++)); do
		printf '[[customer]]\nname = "customer-%d"\nkey_sha256 = ["%064x"]\nservices = ["assistant", "ledger"]\npriority = "batch"\n' "$i" "$i"
	done >>"$WORK/big.toml"
	start_ns=$(date +%s%N)
	"$SKH" apply --store "$KV" --wait 3 "$WORK/big.toml" >"$WORK/apply.out" 2>&1
	end_ns=$(date +%s%N)
	sed -i "s/name = \"customer-$n\"/name = \"customer-$n\"\nburst = 7/" "$WORK/big.toml"
	"$SKH" apply --store "$KV" --wait 1 "$WORK/big.toml" >"$WORK/apply2.out" 2>&1
	curl -s "$KV/v3/kv/range" -d "{\"key\":\"$(b64 /skylarkhead/config/head)\"}" >"$WORK/head.json"
	curl -s "$KV/v3/kv/range" -d "{\"key\":\"$(b64 /skylarkhead/parts/)\",\"range_end\":\"$(b64 /skylarkhead/parts0)\"}" >"$WORK/parts.json"
	head_bytes=$(grep -o '"value":"[^"]*"' "$WORK/head.json" | cut -d'"' -f4 | base64 -d | wc -c)
	parts_bytes=$(grep -o '"value":"[^"]*"' "$WORK/parts.json" | cut -d'"' -f4 | while read -r v; do echo "$v" | base64 -d | wc -c; done | awk '{s += $1} END {print s}')
	changed_bytes=$(grep -o '"value":"[^"]*"' "$WORK/parts.json" | cut -d'"' -f4 | while read -r v; do
		echo "$v" | base64 -d | grep -c '"burst":7' >/dev/null && echo "$v" | base64 -d | wc -c
	done | tail -n 1)
	printf '%10d %10d %12d %12d %12d %10d\n' "$n" $(((end_ns - start_ns) / 1000000)) "$head_bytes" "$parts_bytes" "$((head_bytes + ${changed_bytes:-0}))" "$(get_rss_kib entry-1)"
done

echo
echo "calls to the key-value service in $REST_S s by 1 entry and 1 sidecar at rest"
curl -s "$KV/counts" >"$WORK/counts-1"
sleep "$REST_S"
curl -s "$KV/counts" >"$WORK/counts-2"
cat "$WORK/counts-1"; echo
cat "$WORK/counts-2"; echo
