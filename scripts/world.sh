# Functions that run a complete system on loopback, for the demo, the scripted runs and the
# benches. Source this file. Requires BUILD (the build directory); the variables with defaults
# below may be set first. Each process is started and stopped by its own process ID.

: "${BUILD:?the build directory}"
: "${PORT_BASE:=21000}"
: "${WORK:=$(mktemp -d)}"
: "${TOKEN_US:=2000}" # time per token of the stand-in engines
: "${CAPACITY:=64}"
: "${DRAIN_MS:=20000}"
: "${GROUP:=}"
: "${SECURITY:=}" # complete [security] section of the settings
: "${WAIT_TRIES:=300}"
: "${HTTP_THREADS:=64}"
: "${STACK_KIB:=256}"
: "${STORE_TIMEOUT_MS:=1000}"

SKH="$BUILD/skylarkhead"
KV_PORT=$PORT_BASE
KV="http://127.0.0.1:$KV_PORT"
declare -A PID
JOB_PIDS=()

# Ports: PORT_BASE is the key-value service. Entry N uses PORT_BASE+10N for callers and the next
# port for admin. Sidecar N uses PORT_BASE+100+10N for the link, the next for admin and the one
# after for its backend server.
entry_port() { echo $((PORT_BASE + 10 * $1)); }
sidecar_port() { echo $((PORT_BASE + 100 + 10 * $1)); }

start() { # name command...
	local name=$1
	shift
	# A new session, so that a stopped process does not get SIGHUP when the terminal closes.
	setsid "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
	PID[$name]=$!
}

is_alive() { kill -0 "${PID[$1]}" 2>/dev/null; }

signal() { kill "-$2" "${PID[$1]}" 2>/dev/null || true; }

# Waits for the process to end and returns its exit status.
reap() {
	local status=0
	wait "${PID[$1]}" 2>/dev/null || status=$?
	unset "PID[$1]"
	return $status
}

stop() {
	signal "$1" TERM
	reap "$1" || return $?
}

stop_all() {
	local name
	for name in "${!PID[@]}"; do
		signal "$name" KILL
		reap "$name" || true
	done
}

# Waits for the background jobs whose process IDs are in the array JOB_PIDS.
wait_jobs() {
	local i
	for i in "${!JOB_PIDS[@]}"; do wait "${JOB_PIDS[$i]}" || true; done
	JOB_PIDS=()
}

wait_until() { # command...
	local i
	for ((i = 0; i < WAIT_TRIES; i++)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "timed out: $*" >&2
	return 1
}

b64() { printf '%s' "$1" | base64 -w0; }

kv_put() { # key value
	curl -sf "$KV/v3/kv/put" -d "{\"key\":\"$(b64 "$1")\",\"value\":\"$(b64 "$2")\"}" >/dev/null
}

# Removes an instance from the platform's list.
unlist() { # id
	curl -sf "$KV/v3/kv/txn" -d \
		"{\"success\":[{\"request_delete_range\":{\"key\":\"$(b64 "/platform/instances/$1")\"}}]}" >/dev/null
}

# Adds an instance to the platform's list, or replaces its item there.
list_instance() { # id role link admin domain state
	kv_put "/platform/instances/$1" \
		"{\"role\":\"$2\",\"link\":\"$3\",\"admin\":\"$4\",\"failure_domain\":\"$5\",\"state\":\"$6\"}"
}

list_entry() { # n domain state
	list_instance "entry-$1" entry "" "127.0.0.1:$(($(entry_port "$1") + 1))" "$2" "$3"
}

list_sidecar() { # n domain state
	local port
	port=$(sidecar_port "$1")
	list_instance "sidecar-$1" sidecar "tcp://127.0.0.1:$port" "127.0.0.1:$((port + 1))" "$2" "$3"
}

start_kv() {
	start kv "$BUILD/test/standin-kv" "127.0.0.1:$KV_PORT"
	wait_until curl -sf "$KV/counts"
}

start_engine() { # n
	local port
	port=$(($(sidecar_port "$1") + 2))
	start "engine-$1" "$BUILD/test/standin-engine" "127.0.0.1:$port" "$TOKEN_US"
	wait_until curl -sf "http://127.0.0.1:$port/runs"
}

start_plain() { # n
	local port
	port=$(($(sidecar_port "$1") + 2))
	start "plain-$1" "$BUILD/test/standin-plain" "127.0.0.1:$port"
	wait_until curl -sf "http://127.0.0.1:$port/runs"
}

write_entry_settings() { # n domain
	local port
	port=$(entry_port "$1")
	cat >"$WORK/entry-$1.toml" <<END
[instance]
id = "entry-$1"
failure_domain = "$2"
[http]
listen = "127.0.0.1:$port"
threads = $HTTP_THREADS
stack_kib = $STACK_KIB
[admin]
listen = "127.0.0.1:$((port + 1))"
[store]
endpoints = ["$KV"]
timeout_ms = $STORE_TIMEOUT_MS
[stop]
drain_ms = $DRAIN_MS
[log]
level = "debug"
$SECURITY
END
}

write_sidecar_settings() { # n domain kind service
	local port group_line=
	[ -z "$GROUP" ] || group_line="group = \"$GROUP\""
	port=$(sidecar_port "$1")
	cat >"$WORK/sidecar-$1.toml" <<END
[instance]
id = "sidecar-$1"
failure_domain = "$2"
[link]
listen = "tcp://127.0.0.1:$port"
[admin]
listen = "127.0.0.1:$((port + 1))"
[store]
endpoints = ["$KV"]
timeout_ms = $STORE_TIMEOUT_MS
[backend]
kind = "$3"
url = "http://127.0.0.1:$((port + 2))"
service = "$4"
capacity = $CAPACITY
$group_line
rank = $(($1 - 1))
[stop]
drain_ms = $DRAIN_MS
[log]
level = "debug"
$SECURITY
END
}

start_entry() { # n domain
	write_entry_settings "$1" "$2"
	start "entry-$1" "$SKH" entry --settings "$WORK/entry-$1.toml"
	wait_until curl -sf "http://127.0.0.1:$(($(entry_port "$1") + 1))/healthz"
}

start_sidecar() { # n domain kind service
	write_sidecar_settings "$1" "$2" "$3" "$4"
	start "sidecar-$1" "$SKH" sidecar --settings "$WORK/sidecar-$1.toml"
	wait_until curl -sf "http://127.0.0.1:$(($(sidecar_port "$1") + 1))/healthz"
}

write_manifest() { # file reason
	local key
	key=$(printf 'clerk-key' | sha256sum | cut -d' ' -f1)
	cat >"$1" <<END
[change]
by = "pipeline"
reason = "$2"

[balance]
skew_weight = 0.8
cost_weight = 0.2

[[model]]
name = "spares-7b"
version = "3"
experts = 4
layers = 2

[[priority]]
name = "counter"
level = 0

[[priority]]
name = "batch"
level = 4

[[service]]
name = "assistant"
kind = "model"
model = "spares-7b"
owner = "assistant-team"

[[service]]
name = "ledger"
kind = "plain"
idempotent_methods = ["GET"]
owner = "ledger-team"

[[customer]]
name = "nairobi-yard"
key_sha256 = ["$key"]
services = ["assistant", "ledger"]
priority = "counter"

[[group]]
name = "assistant-1"
service = "assistant"
ranks = 2
slots_per_rank = 3
placement = [[0, 1, 2], [2, 3, 0]]
END
}

# True when the entry reports the sidecar as ready and reachable.
peer_ready() { # entry n, sidecar n
	curl -sf "http://127.0.0.1:$(($(entry_port "$1") + 1))/admin/v1/status" |
		grep -q "\"id\":\"sidecar-$2\"[^}]*\"phase\":\"ready\",\"reachable\":true"
}

# Starts two entries, three engines in three failure domains and one plain service.
start_system() {
	local domains=(nairobi mombasa kisumu) n e
	start_kv
	for n in 1 2 3; do
		start_engine "$n"
		start_sidecar "$n" "${domains[n - 1]}" engine assistant
		list_sidecar "$n" "${domains[n - 1]}" live
	done
	start_plain 4
	start_sidecar 4 nairobi plain ledger
	list_sidecar 4 nairobi live
	for e in 1 2; do
		start_entry "$e" "${domains[e - 1]}"
		list_entry "$e" "${domains[e - 1]}" live
	done
	write_manifest "$WORK/manifest.toml" "first manifest"
}

# Waits until each entry reports each sidecar as ready.
wait_system_ready() {
	local n e
	for e in 1 2; do
		for n in 1 2 3 4; do
			wait_until peer_ready "$e" "$n" || return 1
		done
	done
}

# Sends a request to an entry.
ask() { # entry n, path, curl options...
	local port
	port=$(entry_port "$1")
	local path=$2
	shift 2
	curl -s -H "Authorization: Bearer clerk-key" "http://127.0.0.1:$port$path" "$@"
}

# Streams a completion of the assistant. The prompt makes requests distinct.
stream() { # entry n, tokens, prompt
	ask "$1" /v1/completions -N -H 'X-Deadline-Ms: 60000' \
		-d "{\"model\":\"spares-7b\",\"stream\":true,\"max_tokens\":$2,\"prompt\":\"$3\"}"
}

# Prints "whole" when the file holds a complete stream: each token once and in order, then [DONE].
check_stream() { # file, number of tokens
	local count
	count=$(grep -o 'w[0-9a-f]*-[0-9]*' "$1" | sed 's/.*-//' |
		awk 'NR - 1 != $1 {bad = 1} END {print bad ? -1 : NR}')
	if [ "$count" = "$2" ] && grep -q '^data: \[DONE\]' "$1"; then
		echo whole
	else
		echo "not whole:"
		tail -n 3 "$1"
	fi
}
