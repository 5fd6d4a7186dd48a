#!/usr/bin/env bash
# Starts a complete system on loopback, sends requests and stops its processes cleanly.
# Exits 0 only if every response was complete.
set -u
BUILD=${BUILD:-build}
. "$(dirname "$0")/world.sh"
trap stop_all EXIT
failed=0

fail() {
	echo "FAILED: $*"
	failed=1
}

echo "== start: key-value stand-in, 3 engines, 1 plain service, 4 sidecars, 2 entries"
start_system
echo "== apply the manifest"
"$SKH" apply --store "$KV" "$WORK/manifest.toml" || fail "apply"
wait_system_ready || fail "not every entry reaches every sidecar"

echo "== a streamed response"
body='{"model":"spares-7b","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"gearbox for a 2014 hatchback"}]}'
ask 1 /v1/chat/completions -N -d "$body" | tee "$WORK/stream.txt"
tail -n 2 "$WORK/stream.txt" | grep -q '^data: \[DONE\]' || fail "the stream has no [DONE] event"
[ "$(grep -c '"content"' "$WORK/stream.txt")" = 8 ] || fail "the stream is incomplete: expected 8 content events"

echo "== twenty responses through two entries"
for i in $(seq 1 20); do
	ask $((i % 2 + 1)) /v1/chat/completions -d "{\"model\":\"spares-7b\",\"messages\":[{\"content\":\"part $i\"}]}" \
		>"$WORK/response-$i.json"
	grep -q '"finish_reason":"stop"' "$WORK/response-$i.json" || fail "response $i: $(cat "$WORK/response-$i.json")"
done
echo "$(grep -l '"finish_reason":"stop"' "$WORK"/response-*.json | wc -l) of 20 responses complete"

echo "== a sale at the plain service"
ask 1 /services/ledger/sales -d '{"part":"gearbox"}' -w '\n' | tee "$WORK/sale.txt"
grep -q '"line":1' "$WORK/sale.txt" || fail "the ledger did not record the sale as line 1"

echo "== a sidecar is stopped while long responses stream"
body='{"model":"spares-7b","stream":true,"max_tokens":400,"messages":[]}'
for i in 1 2 3; do
	ask 1 /v1/chat/completions -N -d "${body/\[\]/[{\"content\":\"draft $i\"\}]}" >"$WORK/long-$i.txt" &
	long_pid[$i]=$!
done
sleep 0.3
stop sidecar-2 || fail "sidecar-2 did not stop cleanly"
for i in 1 2 3; do
	wait "${long_pid[$i]}"
	[ "$(grep -c '"content"' "$WORK/long-$i.txt")" = 400 ] || fail "long response $i is incomplete: expected 400 content events"
	grep -q '^data: \[DONE\]' "$WORK/long-$i.txt" || fail "long response $i has no [DONE] event"
done
echo "3 responses of 400 tokens complete"

echo "== status"
"$SKH" status --store "$KV" || fail "status"

echo "== stop"
for name in entry-1 entry-2 sidecar-1 sidecar-3 sidecar-4; do
	stop "$name" || fail "$name did not stop cleanly"
done
[ $failed = 0 ] && echo "demo: every response was complete"
exit $failed
