# Functions that run gateways and balancers on loopback against stand-ins of the users'
# platform: a metadata store, the ranks of one group and plain servers. Source after world.sh.

: "${GATEWAYS:=2}"
: "${RANKS:=3}"
: "${KEY_TRUST_MS:=4000}"
: "${REGIONS:=}" # lines of their section [regions]
: "${BOUNDS:=}" # lines of the gateways' section [bounds]

STORE="127.0.0.1:$PORT_BASE"
SERVERS_BASE=$((PORT_BASE + 100))

gateway_port() { echo $((PORT_BASE + 10 * $1)); }
balancer_port() { echo $((PORT_BASE + 60 + 2 * $1)); }
rank_port() { echo $((SERVERS_BASE + $1)); }
plain_port() { echo $((SERVERS_BASE + 80 + $1)); }

# operator_delete KEY: deletes a key of the store as the operator
operator_delete() { curl -sf -X DELETE "http://$STORE/put?key=$1" >/dev/null; }

# operator_put KEY VALUE: writes to the store as the operator
operator_put() {
	json_put_body "$1" "$2" | curl -sf -X POST --data-binary @- "http://$STORE/put" >/dev/null
}

json_put_body() {
	python3 -c 'import json,sys; print(json.dumps({"key": sys.argv[1], "value": sys.argv[2]}))' "$1" "$2"
}

fleet_route() { # name kind service [extra JSON fields]
	printf '{"name":"%s","host":"x.example","prefix":"/%s/","kind":"%s","timeout-ms":3000,"latency-goal-ms":500,"priority":1,"service":"%s","max-attempts":2,"public":false%s}' \
		"$1" "$1" "$2" "$3" "${4:-}"
}

# fleet_config VERSION [KEYS [EXTRA_ROUTE]]: prints the operator's configuration document
fleet_config() {
	local engine='{"slots":8,"stride":4,"link-mbps":180000.0,"step_ms":2.0,"per_seq_ms":0.4,"sets":2,"experts":'$((RANKS * 2))',"placements":4,"spare":3,"expert-mb":100.0,"expert-share":0.85}'
	printf '{"version":%s,"routes":[%s,%s,%s%s],"services":[{"name":"model","health-path":"/health","max-connections":100,"engine":%s},{"name":"ledger","health-path":"/health","max-connections":100}],"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"acme","api-keys":[%s],"priority":1}]}' \
		"$1" "$(fleet_route stream streaming model ',"stream-resume":true,"gap-goal-ms":120')" \
		"$(fleet_route once non_idempotent ledger)" "$(fleet_route often idempotent ledger)" \
		"${3:+,$3}" "$engine" "${2:-\"k1\"}"
}

# Prints the settings file of a gateway.
gateway_settings() { # number
	cat <<-TOML
		[instance]
		id = "gateway-$1"
		failure_domain = "a"
		[http]
		listen = "127.0.0.1:$(gateway_port "$1")"
		[admin]
		listen = "127.0.0.1:$(($(gateway_port "$1") + 1))"
		[store]
		endpoints = ["$STORE"]
		timeout_ms = 900
		[gateway]
		dialect = "fleet"
		gossip_listen = "127.0.0.1:$(($(gateway_port "$1") + 2))"
		poll_pace_ms = 100
		key_trust_ms = $KEY_TRUST_MS
		[bounds]
		$BOUNDS
		[regions]
		$REGIONS
		[stop]
		drain_ms = ${GATEWAY_DRAIN_MS:-8000}
		[log]
		format = "json"
		output = "stdout"
		${MEMORY_MB:+[limits]}
		${MEMORY_MB:+memory_mb = $MEMORY_MB}
	TOML
}

# Prints the settings file of the balancer beside a rank.
balancer_settings() { # rank
	cat <<-TOML
		[instance]
		id = "balancer-$1"
		failure_domain = "a"
		[admin]
		listen = "127.0.0.1:$(($(balancer_port "$1") + 1))"
		[store]
		endpoints = ["$STORE"]
		timeout_ms = 900
		[balancer]
		dialect = "fleet"
		listen = "127.0.0.1:$(balancer_port "$1")"
		engine = "127.0.0.1:$(rank_port "$1")"
		service = "model"
		[log]
		format = "json"
		output = "stdout"
	TOML
}

start_gateway() {
	gateway_settings "$1" >"$WORK/gateway-$1.toml"
	start "gateway-$1" "$SKH" gateway --settings "$WORK/gateway-$1.toml"
}

start_balancer() {
	balancer_settings "$1" >"$WORK/balancer-$1.toml"
	start "balancer-$1" "$SKH" balancer --settings "$WORK/balancer-$1.toml"
}

start_fleet() {
	local i
	start store "$BUILD/test/standin-fleet_store" "$STORE"
	wait_until curl -sf "http://$STORE/counts" || return 1
	start servers "$BUILD/test/standin-fleet_servers" "$STORE" "$SERVERS_BASE" "$RANKS"
	for ((i = 1; i <= GATEWAYS; i++)); do start_gateway "$i"; done
	for ((i = 0; i < ${BALANCERS:-RANKS}; i++)); do start_balancer "$i"; done
}

gateway_is_ready() { curl -sf "http://127.0.0.1:$(($(gateway_port "$1") + 1))/readyz"; }

wait_fleet_ready() {
	local i
	for ((i = 1; i <= GATEWAYS; i++)); do wait_until gateway_is_ready "$i" || return 1; done
	# Servers list themselves in the store within one heartbeat.
	sleep 0.8
}

# fleet_ask GATEWAY PATH [curl options]: sends a request through a gateway
fleet_ask() {
	local gateway=$1 path=$2
	shift 2
	curl -s -H 'Host: x.example' -H "Authorization: Bearer ${KEY:-k1}" \
		-H "Skylarkhead-Attempt-Id: ${ID:-a-$RANDOM-$RANDOM}" \
		-H "Skylarkhead-Deadline-Ms: ${DEADLINE_MS:-3000}" \
		"$@" "http://127.0.0.1:$(gateway_port "$gateway")$path"
}

http_status_of() { fleet_ask "$@" -o /dev/null -w '%{http_code}\n'; }

# Sends a control request to the stand-in server or rank that listens on the port.
control() { # port JSON
	curl -sf -X POST -d "$2" "http://127.0.0.1:$1/control" >/dev/null
}

# Prints a counter of the stand-in servers.
server_counter() { # field
	curl -s "http://127.0.0.1:$(rank_port 0)/seen" | grep -o "\"$1\":[0-9]*" | cut -d: -f2
}
