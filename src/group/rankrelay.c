#include "rankrelay.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "order_batch.h"
#include "wire.h"

#include <stdlib.h>
#include <string.h>

#define PART "relay"
/* The engine beside this process responds at once or not at all. */
#define ENGINE_TIMEOUT_US (30 * SKH_US_PER_MS)
/* Retries are local, so they cost nothing and avoid the round trip to the coordinator. */
#define MAX_ATTEMPTS 6
/* A rank that restarts takes longer than this to join another group. */
#define MAX_CONFIRMATION_AGE_US (300 * SKH_US_PER_MS)
/* Limit of a batch's orders: each relay may use all of its attempts, plus a round trip. */
#define PASS_ON_TIMEOUT_US (200 * SKH_US_PER_MS)
/* Clients of other relays that are kept; more than the ranks of a batch, as batches change. */
#define MAX_PEERS	   512
#define MAX_SLOTS	   (1U << 20)
#define BYTES_PER_SLOT	   2
#define STATUS_OK	   200
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT	   504

struct skh_rankrelay {
	skh_listener_t *listener;
	uv_loop_t *loop;
	const skh_upstream_pool_options_t *pool_options;
	skh_engine_client_t *engine;
	const skh_rank_poller_t *poller;     /* of @engine */
	skh_engine_client_t *proxied_engine; /* engine to which orders are proxied, or NULL */
	uint32_t n_proxied_orders;	     /* orders pending at @proxied_engine */
	const skh_dialect_t *dialect;
	GHashTable *peers;    /* address -> skh_engine_client_t of another relay */
	uint32_t n_passed_on; /* orders pending at @peers */
	skh_map_cache_t map_cache;
	int64_t prepared_version; /* map version of the last prepare order */
	int64_t prepared_us;
};

/*
 * One request of a coordinator: an order for this process or a batch. Outlives the coordinator's
 * connection if that is closed first.
 */
typedef struct pending_request {
	skh_caller_conn_t *conn; /* NULL after the connection was closed */
	skh_rankrelay_t *relay;
	bool is_batch;
	uint32_t n_pending; /* orders without a status */
	uint32_t n_statuses;
	uint32_t *statuses; /* the own engine's first */
} pending_request_t;

/* The order for this process in a request. */
typedef struct pending_order {
	pending_request_t *request;
	skh_engine_client_t *engine;
	char group[SKH_GROUP_NAME_SIZE]; /* group that the order is for */
	int64_t epoch;
	int64_t asked_us;     /* when @engine was asked for its group last */
	int64_t confirmed_us; /* @asked_us if @engine has named @group; 0 before */
	char *body;
	uint32_t n_attempts;
	bool has_other_group; /* the engine's last response named another group or epoch */
} pending_order_t;

static uint64_t compute_map_hash(const uint32_t *map, size_t n_slots)
{
	return skh_chunk_hash(skh_chunk_make(map, n_slots * sizeof(*map)), 0);
}

static void pack_complete_map(const skh_mapchange_order_t *order, size_t n_slots,
			      Skh__RankOrder *message)
{
	message->map.len = n_slots * BYTES_PER_SLOT;
	message->map.data = g_new(uint8_t, message->map.len + 1);
	for (size_t i = 0; i < n_slots; i++) {
		message->map.data[i * BYTES_PER_SLOT] = (uint8_t)(order->map[i] & 0xFF);
		message->map.data[i * BYTES_PER_SLOT + 1] = (uint8_t)(order->map[i] >> 8);
	}
}

static void pack_map_differences(const skh_mapchange_order_t *order,
				 const skh_versioned_map_t *base, uint32_t n_experts,
				 Skh__RankOrder *message)
{
	size_t last_slot = 0;

	message->base_version = base->version;
	message->n_first_experts = base->version == SKH_RANKRELAY_FIRST_MAP ? n_experts : 0;
	message->changed = g_new(uint32_t, base->n_slots + 1);
	message->experts = g_new(uint32_t, base->n_slots + 1);
	for (size_t i = 0; i < base->n_slots; i++) {
		if (order->map[i] == base->map[i])
			continue;
		message->changed[message->n_changed++] = (uint32_t)(i - last_slot);
		message->experts[message->n_experts++] = order->map[i];
		last_slot = i;
	}
}

void skh_rankrelay_pack(const skh_mapchange_order_t *order, const skh_versioned_map_t *base,
			uint32_t n_experts, const char *group, const char *engine,
			skh_buffer_t *out)
{
	Skh__RankOrder message = SKH__RANK_ORDER__INIT;
	size_t n_slots = (size_t)order->n_sets * order->n_ranks * order->n_slots;

	message.op = (uint32_t)order->op;
	message.version = order->map_version;
	message.pass = order->pass;
	message.epoch = order->epoch;
	message.fence = order->fence;
	message.group = (char *)group;
	message.engine = (char *)(engine ? engine : "");
	if (order->op == SKH_ENGINE_PREPARE) {
		message.sets = order->n_sets;
		message.ranks = order->n_ranks;
		message.places = order->n_slots;
		message.map_hash = compute_map_hash(order->map, n_slots);
		if (base && base->map && base->n_slots == n_slots)
			pack_map_differences(order, base, n_experts, &message);
		else
			pack_complete_map(order, n_slots, &message);
	}
	(void)skh__rank_order__pack(
		&message, skh_buffer_extend(out, skh__rank_order__get_packed_size(&message)));
	g_free(message.map.data);
	g_free(message.changed);
	g_free(message.experts);
}

/* Returns a copy of the map in @message, or NULL if its size is wrong. */
static uint32_t *unpack_complete_map(const Skh__RankOrder *message, size_t n_slots)
{
	uint32_t *map;

	if (message->map.len != n_slots * BYTES_PER_SLOT)
		return NULL;
	map = g_new(uint32_t, n_slots + 1);
	for (size_t i = 0; i < n_slots; i++)
		map[i] = (uint32_t)message->map.data[i * BYTES_PER_SLOT] |
			 (uint32_t)message->map.data[i * BYTES_PER_SLOT + 1] << 8;
	return map;
}

static uint32_t *unpack_map_differences(const Skh__RankOrder *message,
					const skh_versioned_map_t *base, size_t n_slots)
{
	uint32_t *map;
	size_t slot = 0;

	if (!base || base->n_slots != n_slots || message->n_changed != message->n_experts)
		return NULL;
	map = g_memdup2(base->map, n_slots * sizeof(*map));
	for (size_t i = 0; i < message->n_changed; i++) {
		slot += message->changed[i];
		if (slot >= n_slots)
			break;
		map[slot] = message->experts[i];
	}
	return map;
}

const skh_versioned_map_t *skh_map_cache_find(const skh_map_cache_t *cache, int64_t version)
{
	for (uint32_t i = 0; i < SKH_RANKRELAY_MAX_MAPS; i++) {
		if (cache->entries[i].map && cache->entries[i].version == version)
			return &cache->entries[i];
	}
	return NULL;
}

void skh_map_cache_clear(skh_map_cache_t *cache)
{
	for (uint32_t i = 0; i < SKH_RANKRELAY_MAX_MAPS; i++)
		g_free(cache->entries[i].map);
	*cache = (skh_map_cache_t){ 0 };
}

/* Takes ownership of @map. */
static void add_map(skh_map_cache_t *cache, int64_t version, size_t n_slots, uint32_t *map)
{
	skh_versioned_map_t *entry = &cache->entries[cache->next_index];

	cache->next_index = (cache->next_index + 1) % SKH_RANKRELAY_MAX_MAPS;
	g_free(entry->map);
	*entry = (skh_versioned_map_t){ version, n_slots, map };
}

/* Returns the number of slots of the order's map; 0 if it is out of bounds. */
static size_t count_slots(const Skh__RankOrder *message)
{
	uint64_t n_slots = (uint64_t)message->sets * message->ranks;

	if (n_slots > MAX_SLOTS || message->places > MAX_SLOTS)
		return 0;
	n_slots *= message->places;
	return n_slots > MAX_SLOTS ? 0 : (size_t)n_slots;
}

/* Experts are on the ranks in turn; NULL if they don't fit. */
static uint32_t *make_first_map(const Skh__RankOrder *message, size_t n_slots)
{
	uint32_t n_experts = message->n_first_experts;
	uint32_t *map;

	if (n_experts > (uint64_t)message->ranks * message->places)
		return NULL;
	map = g_new0(uint32_t, n_slots + 1);
	for (uint32_t set = 0; set < message->sets; set++) {
		for (uint32_t expert = 0; expert < n_experts; expert++)
			map[((size_t)set * message->ranks + expert % message->ranks) *
				    message->places +
			    expert / message->ranks] = expert + 1;
	}
	return map;
}

static uint32_t *unpack_first_map_differences(const Skh__RankOrder *message, size_t n_slots)
{
	uint32_t *first_map = make_first_map(message, n_slots);
	const skh_versioned_map_t base = { SKH_RANKRELAY_FIRST_MAP, n_slots, first_map };
	uint32_t *map = first_map ? unpack_map_differences(message, &base, n_slots) : NULL;

	g_free(first_map);
	return map;
}

static int32_t unpack_map(const Skh__RankOrder *message, skh_map_cache_t *cache)
{
	size_t n_slots = count_slots(message);
	bool is_complete = message->base_version == 0 && message->n_first_experts == 0;
	uint32_t *map;

	if (n_slots == 0)
		return STATUS_BAD_REQUEST;
	if (is_complete)
		map = unpack_complete_map(message, n_slots);
	else if (message->n_first_experts > 0)
		map = unpack_first_map_differences(message, n_slots);
	else
		map = unpack_map_differences(
			message, skh_map_cache_find(cache, message->base_version), n_slots);
	if (!map || compute_map_hash(map, n_slots) != message->map_hash) {
		g_free(map);
		return is_complete ? STATUS_BAD_REQUEST : SKH_RANKRELAY_STATUS_NO_BASE;
	}
	add_map(cache, message->version, n_slots, map);
	return STATUS_OK;
}

int32_t skh_rankrelay_unpack(skh_chunk_t bytes, skh_map_cache_t *cache, const char *group,
			     skh_mapchange_order_t *order, char **engine)
{
	Skh__RankOrder *message = skh__rank_order__unpack(NULL, bytes.len, bytes.data);
	const skh_versioned_map_t *map;
	int32_t status = STATUS_OK;

	*engine = NULL;
	if (!message)
		return STATUS_BAD_REQUEST;
	*engine = *message->engine ? g_strdup(message->engine) : NULL;
	/* A retried order finds its map in the cache. */
	if (message->op > SKH_ENGINE_RELEASE || !skh_wire_is_whole(&message->base, bytes.len))
		status = STATUS_BAD_REQUEST;
	else if (!*group || strcmp(message->group, group) != 0)
		status = SKH_RANKRELAY_STATUS_OTHER_GROUP;
	else if (message->op == SKH_ENGINE_PREPARE && !skh_map_cache_find(cache, message->version))
		status = unpack_map(message, cache);
	map = skh_map_cache_find(cache, message->version);
	*order = (skh_mapchange_order_t){
		.op = (skh_engine_op_t)message->op,
		.map_version = message->version,
		.pass = message->pass,
		.epoch = message->epoch,
		.fence = message->fence,
		.map = map ? map->map : NULL,
		.n_sets = message->sets,
		.n_ranks = message->ranks,
		.n_slots = message->places,
	};
	/* The cached map of the same version may have another size. */
	if (status == STATUS_OK && message->op == SKH_ENGINE_PREPARE &&
	    (!map || (uint64_t)order->n_sets * order->n_ranks * order->n_slots != map->n_slots))
		status = STATUS_BAD_REQUEST;
	skh__rank_order__free_unpacked(message, NULL);
	return status;
}

static void respond(skh_caller_conn_t *conn, int32_t status, skh_chunk_t body)
{
	const skh_response_head_t head = {
		.status = status, .reason = "Order", .headers = "", .content_length = body.len
	};

	skh_caller_conn_begin_response(conn, &head);
	if (body.len > 0)
		skh_caller_conn_write(conn, body);
	skh_caller_conn_end_response(conn);
}

/* --- Requests --- */

static pending_request_t *new_request(skh_rankrelay_t *relay, skh_caller_conn_t *conn,
				      bool is_batch, uint32_t n_statuses)
{
	pending_request_t *request = g_new0(pending_request_t, 1);

	request->relay = relay;
	request->conn = conn;
	request->is_batch = is_batch;
	request->n_pending = n_statuses;
	request->n_statuses = n_statuses;
	request->statuses = g_new0(uint32_t, n_statuses);
	skh_caller_conn_set_exchange(conn, request);
	return request;
}

static void respond_to_batch(const pending_request_t *request)
{
	skh_buffer_t body = SKH_BUFFER_INIT;

	skh_order_batch_pack_statuses(request->statuses, request->n_statuses, &body);
	respond(request->conn, STATUS_OK, skh_buffer_chunk(&body));
	skh_buffer_free(&body);
}

/* Responds and frees @request once all of its orders have a status. */
static void record_status(pending_request_t *request, uint32_t index, int32_t status)
{
	request->statuses[index] = (uint32_t)status;
	if (--request->n_pending > 0)
		return;
	if (request->conn && request->is_batch)
		respond_to_batch(request);
	else if (request->conn)
		respond(request->conn, status, skh_chunk_make(NULL, 0));
	g_free(request->statuses);
	g_free(request);
}

/* --- Orders for the engine beside this process --- */

static void send_to_engine(pending_order_t *pending);
static void post_to_engine(pending_order_t *pending);

static void finish_order(pending_order_t *pending, int32_t status)
{
	pending_request_t *request = pending->request;

	if (pending->engine == request->relay->proxied_engine)
		request->relay->n_proxied_orders--;
	free(pending->body);
	g_free(pending);
	record_status(request, 0, status);
}

static void retry_or_finish(pending_order_t *pending, int32_t status)
{
	if (status == 0 && pending->request->conn && pending->n_attempts < MAX_ATTEMPTS)
		send_to_engine(pending);
	else
		finish_order(pending, status == 0 ? STATUS_TIMEOUT : status);
}

static void on_engine_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	(void)tag;
	(void)body;
	/*
	 * A retry is safe: an order that is carried out twice leads to the same state or is rejected
	 * the second time.
	 */
	retry_or_finish(context, status);
}

/* Whether the engine has named the order's group so recently that it must still be in it. */
static bool is_confirmed(const pending_order_t *pending)
{
	const skh_rankrelay_t *relay = pending->request->relay;
	const skh_rank_snapshot_t *snapshot = skh_rank_poller_snapshot(relay->poller);
	int64_t oldest_us = skh_clock_boot_us() - MAX_CONFIRMATION_AGE_US;

	if (pending->confirmed_us >= oldest_us && pending->confirmed_us != 0)
		return true;
	return pending->engine == relay->engine && snapshot->has_report &&
	       snapshot->requested_us >= oldest_us && snapshot->report.is_in_group &&
	       strcmp(snapshot->report.group, pending->group) == 0;
}

static void on_group_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	pending_order_t *pending = context;
	skh_engine_report_t report;
	skh_error_t err;

	(void)tag;
	if (status != 200 || !pending->request->relay->dialect->read_report(body, &report, &err)) {
		retry_or_finish(pending, status == 200 ? 0 : status);
		return;
	}
	if (!report.is_in_group || strcmp(report.group, pending->group) != 0 ||
	    report.epoch != pending->epoch) {
		/* One response may be wrong; a second one has to confirm it. */
		if (!pending->has_other_group) {
			pending->has_other_group = true;
			retry_or_finish(pending, 0);
			return;
		}
		skh_metrics_add(SKH_COUNT_FOREIGN_ORDERS, 1);
		finish_order(pending, SKH_RANKRELAY_STATUS_OTHER_GROUP);
		return;
	}
	pending->has_other_group = false;
	pending->confirmed_us = pending->asked_us;
	/* Asks again if this process was frozen before it could read the response. */
	if (is_confirmed(pending))
		post_to_engine(pending);
	else
		retry_or_finish(pending, 0);
}

static void post_to_engine(pending_order_t *pending)
{
	skh_engine_client_order(pending->engine, pending->request->relay->dialect->order_path,
				skh_chunk_from_string(pending->body), ENGINE_TIMEOUT_US, 0,
				on_engine_response, pending);
}

static void send_to_engine(pending_order_t *pending)
{
	pending->n_attempts++;
	if (is_confirmed(pending)) {
		post_to_engine(pending);
		return;
	}
	pending->asked_us = skh_clock_boot_us();
	skh_engine_client_get(pending->engine, pending->request->relay->dialect->report_path,
			      ENGINE_TIMEOUT_US, 0, on_group_response, pending);
}

/*
 * Returns a client for @address, or for the engine beside this process if @address is NULL.
 * Returns NULL while orders are pending at the engine of another coordinator.
 */
static skh_engine_client_t *find_engine(skh_rankrelay_t *relay, const char *address)
{
	if (!address || strcmp(address, skh_engine_client_address(relay->engine)) == 0)
		return relay->engine;
	if (relay->proxied_engine &&
	    strcmp(address, skh_engine_client_address(relay->proxied_engine)) == 0)
		return relay->proxied_engine;
	if (relay->n_proxied_orders > 0)
		return NULL;
	if (relay->proxied_engine)
		skh_engine_client_free(relay->proxied_engine);
	relay->proxied_engine = skh_engine_client_new(relay->loop, address, relay->pool_options);
	return relay->proxied_engine;
}

/* Name of the group that the engine beside this process has reported last, "" for none. */
static const char *engine_group(const skh_rankrelay_t *relay)
{
	const skh_rank_snapshot_t *snapshot = skh_rank_poller_snapshot(relay->poller);

	return snapshot->has_report && snapshot->report.is_in_group ? snapshot->report.group : "";
}

static void start_order(pending_request_t *request, const skh_mapchange_order_t *order,
			skh_engine_client_t *engine)
{
	skh_rankrelay_t *relay = request->relay;
	pending_order_t *pending = g_new0(pending_order_t, 1);

	pending->request = request;
	pending->engine = engine;
	(void)g_strlcpy(pending->group, engine_group(relay), sizeof(pending->group));
	pending->epoch = order->epoch;
	pending->body = relay->dialect->write_order(order);
	if (engine == relay->proxied_engine)
		relay->n_proxied_orders++;
	if (order->op == SKH_ENGINE_PREPARE) {
		relay->prepared_version = order->map_version;
		relay->prepared_us = skh_clock_boot_us();
	}
	send_to_engine(pending);
}

/* Returns the status with which to reject the order, or STATUS_OK with @engine set. */
static int32_t read_order(skh_rankrelay_t *relay, skh_chunk_t bytes, skh_mapchange_order_t *order,
			  skh_engine_client_t **engine)
{
	g_autofree char *address = NULL;
	int32_t status = skh_rankrelay_unpack(bytes, &relay->map_cache, engine_group(relay), order,
					      &address);

	if (status == SKH_RANKRELAY_STATUS_OTHER_GROUP)
		skh_metrics_add(SKH_COUNT_FOREIGN_ORDERS, 1);
	*engine = status == STATUS_OK ? find_engine(relay, address) : NULL;
	if (status == STATUS_OK && !*engine)
		status = STATUS_UNAVAILABLE;
	if (status != STATUS_OK)
		skh_log(SKH_LOG_INFO, PART, "Order rejected.", "status=%d bytes=%zu", status,
			bytes.len);
	return status;
}

static void handle_order(skh_rankrelay_t *relay, skh_caller_conn_t *conn, skh_chunk_t bytes)
{
	skh_mapchange_order_t order;
	skh_engine_client_t *engine;
	int32_t status = read_order(relay, bytes, &order, &engine);

	if (status == STATUS_OK)
		start_order(new_request(relay, conn, false, 1), &order, engine);
	else
		respond(conn, status, skh_chunk_make(NULL, 0));
}

/* --- Orders for other ranks --- */

static void on_peer_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	pending_request_t *request = context;

	(void)body;
	request->relay->n_passed_on--;
	record_status(request, tag, status);
}

static void free_peer(gpointer client)
{
	skh_engine_client_free(client);
}

static skh_engine_client_t *find_peer(skh_rankrelay_t *relay, const char *address)
{
	skh_engine_client_t *peer = g_hash_table_lookup(relay->peers, address);

	if (peer)
		return peer;
	/* Only while no call is pending, as freeing a client cancels its calls silently. */
	if (g_hash_table_size(relay->peers) >= MAX_PEERS && relay->n_passed_on == 0)
		g_hash_table_remove_all(relay->peers);
	peer = skh_engine_client_new(relay->loop, address, relay->pool_options);
	g_hash_table_insert(relay->peers, g_strdup(address), peer);
	return peer;
}

static void handle_batch(skh_rankrelay_t *relay, skh_caller_conn_t *conn, skh_chunk_t bytes)
{
	GBytes *packed_order;
	g_auto(GStrv) peers = NULL;
	skh_mapchange_order_t order;
	skh_engine_client_t *engine;
	pending_request_t *request;
	skh_chunk_t order_bytes;
	int32_t status;

	if (!skh_order_batch_unpack(bytes, &packed_order, &peers)) {
		respond(conn, STATUS_BAD_REQUEST, skh_chunk_make(NULL, 0));
		return;
	}
	order_bytes = skh_chunk_make(g_bytes_get_data(packed_order, NULL),
				     g_bytes_get_size(packed_order));
	request = new_request(relay, conn, true, g_strv_length(peers) + 1);
	for (uint32_t i = 0; peers[i]; i++) {
		relay->n_passed_on++;
		skh_engine_client_post(find_peer(relay, peers[i]), SKH_RANKRELAY_PATH, order_bytes,
				       PASS_ON_TIMEOUT_US, i + 1, on_peer_response, request);
	}
	status = read_order(relay, order_bytes, &order, &engine);
	if (status == STATUS_OK)
		start_order(request, &order, engine);
	else
		record_status(request, 0, status);
	g_bytes_unref(packed_order);
}

static void on_request(void *context, skh_caller_conn_t *conn, const skh_http_message_t *message)
{
	skh_rankrelay_t *relay = context;
	const char *path = message->request_target->str;

	if (strcmp(path, SKH_RANKRELAY_PATH) == 0)
		handle_order(relay, conn, skh_buffer_chunk(&message->body));
	else if (strcmp(path, SKH_ORDER_BATCH_PATH) == 0)
		handle_batch(relay, conn, skh_buffer_chunk(&message->body));
	else
		respond(conn, STATUS_BAD_REQUEST, skh_chunk_make(NULL, 0));
}

static void on_disconnect(void *context, void *exchange)
{
	(void)context;
	((pending_request_t *)exchange)->conn = NULL;
}

static void on_writable(void *context, void *exchange)
{
	(void)context;
	(void)exchange;
}

static const skh_listener_ops_t relay_ops = {
	.on_request = on_request,
	.on_disconnect = on_disconnect,
	.on_writable = on_writable,
};

skh_rankrelay_t *skh_rankrelay_start(uv_loop_t *loop, const char *address,
				     skh_engine_client_t *engine, const skh_rank_poller_t *poller,
				     const skh_dialect_t *dialect,
				     const skh_upstream_pool_options_t *pool_options,
				     skh_error_t *err)
{
	skh_rankrelay_t *relay = g_new0(skh_rankrelay_t, 1);

	relay->loop = loop;
	relay->pool_options = pool_options;
	relay->engine = engine;
	relay->poller = poller;
	relay->dialect = dialect;
	relay->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_peer);
	relay->listener = skh_listener_start(loop, address, &relay_ops, relay, err);
	if (relay->listener)
		return relay;
	g_hash_table_unref(relay->peers);
	g_free(relay);
	return NULL;
}

void skh_rankrelay_reset(skh_rankrelay_t *relay)
{
	skh_map_cache_clear(&relay->map_cache);
	relay->prepared_version = 0;
	relay->prepared_us = 0;
}

int64_t skh_rankrelay_last_prepared_version(const skh_rankrelay_t *relay, int64_t *prepared_us)
{
	*prepared_us = relay->prepared_us;
	return relay->prepared_version;
}
