#include "rankrelay.h"

#include "clock.h"
#include "log.h"
#include "wire.pb-c.h"

#include <stdlib.h>
#include <string.h>

#define PART "relay"
/* The engine beside this process answers at once or not at all ... */
#define ENGINE_TIMEOUT_US (30 * SKH_US_PER_MS)
/* ... and is asked again, free and without the way to the coordinator, so often. */
#define MOST_TRIES	 6
#define MAX_PLACES	 (1U << 20)
#define BYTES_A_PLACE	 2
#define STATUS_OK	 200
#define STATUS_BAD	 400
#define STATUS_BUSY	 503
#define STATUS_NO_ANSWER 504

struct skh_rankrelay {
	skh_listener_t *listener;
	uv_loop_t *loop;
	const skh_upstream_pool_options_t *pool_options;
	skh_engine_client_t *engine;
	skh_engine_client_t *other; /* of the coordinator that this is a deputy of, or NULL */
	uint32_t other_calls;	    /* under way there */
	const skh_dialect_t *dialect;
	skh_map_cache_t known;
	int64_t prepared; /* version of the last map that was handed on ... */
	int64_t prepared_us;
};

/* One order; outlives the caller's connection if that is closed first. */
typedef struct relayed {
	skh_caller_conn_t *conn; /* NULL when the caller has left */
	skh_rankrelay_t *relay;
	skh_engine_client_t *engine;
	char *body;
	uint32_t tries;
} relayed_t;

static uint64_t hash_map(const uint32_t *map, size_t places)
{
	return skh_chunk_hash(skh_chunk_make(map, places * sizeof(*map)), 0);
}

static void pack_whole(const skh_engine_order_t *order, size_t places, Skh__RankOrder *message)
{
	message->map.len = places * BYTES_A_PLACE;
	message->map.data = g_new(uint8_t, message->map.len + 1);
	for (size_t i = 0; i < places; i++) {
		message->map.data[i * BYTES_A_PLACE] = (uint8_t)(order->map[i] & 0xFF);
		message->map.data[i * BYTES_A_PLACE + 1] = (uint8_t)(order->map[i] >> 8);
	}
}

static void pack_changes(const skh_engine_order_t *order, const skh_versioned_map_t *base,
			 Skh__RankOrder *message)
{
	size_t last = 0;

	message->base_version = base->version;
	message->changed = g_new(uint32_t, base->n_slots + 1);
	message->experts = g_new(uint32_t, base->n_slots + 1);
	for (size_t i = 0; i < base->n_slots; i++) {
		if (order->map[i] == base->map[i])
			continue;
		message->changed[message->n_changed++] = (uint32_t)(i - last);
		message->experts[message->n_experts++] = order->map[i];
		last = i;
	}
}

void skh_rankrelay_pack(const skh_engine_order_t *order, const skh_versioned_map_t *base,
			const char *engine, skh_buffer_t *out)
{
	Skh__RankOrder message = SKH__RANK_ORDER__INIT;
	size_t places = (size_t)order->n_sets * order->n_ranks * order->n_slots;

	message.op = (uint32_t)order->op;
	message.version = order->map_version;
	message.pass = order->pass;
	message.epoch = order->epoch;
	message.fence = order->fence;
	message.engine = (char *)(engine ? engine : "");
	if (order->op == SKH_ENGINE_PREPARE) {
		message.sets = order->n_sets;
		message.ranks = order->n_ranks;
		message.places = order->n_slots;
		message.map_hash = hash_map(order->map, places);
		if (base && base->map && base->n_slots == places && base->version != 0)
			pack_changes(order, base, &message);
		else
			pack_whole(order, places, &message);
	}
	(void)skh__rank_order__pack(
		&message, skh_buffer_extend(out, skh__rank_order__get_packed_size(&message)));
	g_free(message.map.data);
	g_free(message.changed);
	g_free(message.experts);
}

/* A copy of the map that @message names; NULL when it does not fit. */
static uint32_t *unpack_whole(const Skh__RankOrder *message, size_t places)
{
	uint32_t *map;

	if (message->map.len != places * BYTES_A_PLACE)
		return NULL;
	map = g_new(uint32_t, places + 1);
	for (size_t i = 0; i < places; i++)
		map[i] = (uint32_t)message->map.data[i * BYTES_A_PLACE] |
			 (uint32_t)message->map.data[i * BYTES_A_PLACE + 1] << 8;
	return map;
}

static uint32_t *unpack_changes(const Skh__RankOrder *message, const skh_versioned_map_t *base,
				size_t places)
{
	uint32_t *map;
	size_t at = 0;

	if (!base || base->n_slots != places || message->n_changed != message->n_experts)
		return NULL;
	map = g_memdup2(base->map, places * sizeof(*map));
	for (size_t i = 0; i < message->n_changed; i++) {
		at += message->changed[i];
		if (at >= places)
			break;
		map[at] = message->experts[i];
	}
	return map;
}

const skh_versioned_map_t *skh_map_cache_find(const skh_map_cache_t *maps, int64_t version)
{
	for (uint32_t i = 0; i < SKH_RANKRELAY_MAX_MAPS; i++) {
		if (maps->entries[i].map && maps->entries[i].version == version)
			return &maps->entries[i];
	}
	return NULL;
}

void skh_map_cache_clear(skh_map_cache_t *maps)
{
	for (uint32_t i = 0; i < SKH_RANKRELAY_MAX_MAPS; i++)
		g_free(maps->entries[i].map);
	*maps = (skh_map_cache_t){ 0 };
}

/* Takes ownership of @map. */
static void add_map(skh_map_cache_t *maps, int64_t version, size_t places, uint32_t *map)
{
	skh_versioned_map_t *slot = &maps->entries[maps->next_index];

	maps->next_index = (maps->next_index + 1) % SKH_RANKRELAY_MAX_MAPS;
	g_free(slot->map);
	*slot = (skh_versioned_map_t){ version, places, map };
}

static int32_t unpack_map(const Skh__RankOrder *message, skh_map_cache_t *known)
{
	uint64_t places = (uint64_t)message->sets * message->ranks * message->places;
	bool whole = message->base_version == 0;
	uint32_t *map;

	if (places == 0 || places > MAX_PLACES)
		return STATUS_BAD;
	map = whole ? unpack_whole(message, places)
		    : unpack_changes(message, skh_map_cache_find(known, message->base_version),
				     places);
	if (!map || hash_map(map, places) != message->map_hash) {
		g_free(map);
		return whole ? STATUS_BAD : SKH_RANKRELAY_STATUS_NO_BASE;
	}
	add_map(known, message->version, places, map);
	return STATUS_OK;
}

int32_t skh_rankrelay_unpack(skh_chunk_t bytes, skh_map_cache_t *known, skh_engine_order_t *order,
			     char **engine)
{
	Skh__RankOrder *message = skh__rank_order__unpack(NULL, bytes.len, bytes.data);
	const skh_versioned_map_t *map;
	int32_t status = STATUS_OK;

	*engine = NULL;
	if (!message)
		return STATUS_BAD;
	*engine = *message->engine ? g_strdup(message->engine) : NULL;
	/* An order sent again finds its map known already. */
	if (message->op > SKH_ENGINE_GO)
		status = STATUS_BAD;
	else if (message->op == SKH_ENGINE_PREPARE && !skh_map_cache_find(known, message->version))
		status = unpack_map(message, known);
	map = skh_map_cache_find(known, message->version);
	*order = (skh_engine_order_t){
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
	/* What stands for the same version may be of another size. */
	if (status == STATUS_OK && message->op == SKH_ENGINE_PREPARE &&
	    (!map || (uint64_t)order->n_sets * order->n_ranks * order->n_slots != map->n_slots))
		status = STATUS_BAD;
	skh__rank_order__free_unpacked(message, NULL);
	return status;
}

static void answer(skh_caller_conn_t *conn, int32_t status)
{
	const skh_response_head_t head = { .status = status, .reason = "Order", .headers = "" };

	skh_caller_conn_begin_response(conn, &head);
	skh_caller_conn_end_response(conn);
}

static void hand_on(relayed_t *relayed);

static void end_relayed(relayed_t *relayed, int32_t status)
{
	if (relayed->engine == relayed->relay->other)
		relayed->relay->other_calls--;
	if (relayed->conn)
		answer(relayed->conn, status);
	free(relayed->body);
	g_free(relayed);
}

static void on_engine_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	relayed_t *relayed = context;

	(void)tag;
	(void)body;
	/* Carried out twice, each order leaves the same state, or is refused the second time. */
	if (status == 0 && relayed->conn && relayed->tries < MOST_TRIES)
		hand_on(relayed);
	else
		end_relayed(relayed, status == 0 ? STATUS_NO_ANSWER : status);
}

static void hand_on(relayed_t *relayed)
{
	relayed->tries++;
	skh_engine_client_post(relayed->engine, relayed->relay->dialect->order_path,
			       skh_chunk_from_string(relayed->body), ENGINE_TIMEOUT_US, 0,
			       on_engine_answer, relayed);
}

/* The one beside this process for NULL; NULL when another coordinator's is in use. */
static skh_engine_client_t *engine_at(skh_rankrelay_t *relay, const char *address)
{
	if (!address || strcmp(address, skh_engine_client_address(relay->engine)) == 0)
		return relay->engine;
	if (relay->other && strcmp(address, skh_engine_client_address(relay->other)) == 0)
		return relay->other;
	if (relay->other_calls > 0)
		return NULL;
	if (relay->other)
		skh_engine_client_free(relay->other);
	relay->other = skh_engine_client_new(relay->loop, address, relay->pool_options);
	return relay->other;
}

static void begin_relayed(skh_rankrelay_t *relay, skh_caller_conn_t *conn,
			  const skh_engine_order_t *order, skh_engine_client_t *engine)
{
	relayed_t *relayed = g_new0(relayed_t, 1);

	relayed->relay = relay;
	relayed->conn = conn;
	relayed->engine = engine;
	relayed->body = relay->dialect->write_order(order);
	if (engine == relay->other)
		relay->other_calls++;
	if (order->op == SKH_ENGINE_PREPARE) {
		relay->prepared = order->map_version;
		relay->prepared_us = skh_clock_boot_us();
	}
	skh_caller_conn_set_exchange(conn, relayed);
	hand_on(relayed);
}

static void on_request(void *context, skh_caller_conn_t *conn, const skh_http_message_t *request)
{
	skh_rankrelay_t *relay = context;
	g_autofree char *address = NULL;
	skh_engine_client_t *engine = NULL;
	skh_engine_order_t order;
	int32_t status = STATUS_BAD;

	if (strcmp(request->request_target->str, SKH_RANKRELAY_PATH) == 0)
		status = skh_rankrelay_unpack(skh_buffer_chunk(&request->body), &relay->known,
					      &order, &address);
	if (status == STATUS_OK) {
		engine = engine_at(relay, address);
		status = engine ? STATUS_OK : STATUS_BUSY;
	}
	if (status == STATUS_OK) {
		begin_relayed(relay, conn, &order, engine);
		return;
	}
	skh_log(SKH_LOG_INFO, PART, "Order not taken.", "status=%d bytes=%zu", status,
		request->body.len);
	answer(conn, status);
}

static void on_gone(void *context, void *exchange)
{
	(void)context;
	((relayed_t *)exchange)->conn = NULL;
}

static void on_drained(void *context, void *exchange)
{
	(void)context;
	(void)exchange;
}

static const skh_listener_ops_t relay_ops = {
	.on_request = on_request,
	.on_disconnect = on_gone,
	.on_writable = on_drained,
};

skh_rankrelay_t *skh_rankrelay_start(uv_loop_t *loop, const char *address,
				     skh_engine_client_t *engine, const skh_dialect_t *dialect,
				     const skh_upstream_pool_options_t *pool_options,
				     skh_error_t *err)
{
	skh_rankrelay_t *relay = g_new0(skh_rankrelay_t, 1);

	relay->loop = loop;
	relay->pool_options = pool_options;
	relay->engine = engine;
	relay->dialect = dialect;
	relay->listener = skh_listener_start(loop, address, &relay_ops, relay, err);
	if (relay->listener)
		return relay;
	g_free(relay);
	return NULL;
}

int64_t skh_rankrelay_last_prepared(const skh_rankrelay_t *relay, int64_t *since_us)
{
	*since_us = relay->prepared_us;
	return relay->prepared;
}
