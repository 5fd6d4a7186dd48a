#include "rankrelay.h"

#include "clock.h"
#include "log.h"
#include "wire.pb-c.h"

#include <stdlib.h>
#include <string.h>

#define PART		  "relay"
#define ENGINE_TIMEOUT_US (160 * SKH_US_PER_MS)
#define MAX_PLACES	  (1U << 20)
#define BYTES_A_PLACE	  2
#define STATUS_OK	  200
#define STATUS_BAD	  400
#define STATUS_NO_ANSWER  504

struct skh_rankrelay {
	skh_listener_t *listener;
	skh_engine_client_t *engine;
	const skh_dialect_t *dialect;
	skh_rank_map_t known; /* the last map that was handed on */
};

/* One order; outlives the caller's connection if that is closed first. */
typedef struct relayed {
	skh_caller_conn_t *conn; /* NULL when the caller has left */
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

static void pack_changes(const skh_engine_order_t *order, const skh_rank_map_t *base,
			 Skh__RankOrder *message)
{
	size_t last = 0;

	message->base_version = base->version;
	message->changed = g_new(uint32_t, base->places + 1);
	message->experts = g_new(uint32_t, base->places + 1);
	for (size_t i = 0; i < base->places; i++) {
		if (order->map[i] == base->map[i])
			continue;
		message->changed[message->n_changed++] = (uint32_t)(i - last);
		message->experts[message->n_experts++] = order->map[i];
		last = i;
	}
}

void skh_rankrelay_pack(const skh_engine_order_t *order, const skh_rank_map_t *base,
			skh_buffer_t *out)
{
	Skh__RankOrder message = SKH__RANK_ORDER__INIT;
	size_t places = (size_t)order->sets * order->ranks * order->places;

	message.op = (uint32_t)order->op;
	message.version = order->version;
	message.pass = order->pass;
	message.epoch = order->epoch;
	message.fence = order->fence;
	if (order->op == SKH_ENGINE_PREPARE) {
		message.sets = order->sets;
		message.ranks = order->ranks;
		message.places = order->places;
		message.map_hash = hash_map(order->map, places);
		if (base && base->map && base->places == places && base->version != 0)
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

static uint32_t *unpack_changes(const Skh__RankOrder *message, const skh_rank_map_t *known,
				size_t places)
{
	uint32_t *map;
	size_t at = 0;

	if (!known->map || known->places != places || known->version != message->base_version ||
	    message->n_changed != message->n_experts)
		return NULL;
	map = g_memdup2(known->map, places * sizeof(*map));
	for (size_t i = 0; i < message->n_changed; i++) {
		at += message->changed[i];
		if (at >= places)
			break;
		map[at] = message->experts[i];
	}
	return map;
}

static int32_t unpack_map(const Skh__RankOrder *message, skh_rank_map_t *known)
{
	uint64_t places = (uint64_t)message->sets * message->ranks * message->places;
	uint32_t *map;

	if (places == 0 || places > MAX_PLACES)
		return STATUS_BAD;
	map = message->base_version != 0 ? unpack_changes(message, known, places)
					 : unpack_whole(message, places);
	if (!map || hash_map(map, places) != message->map_hash) {
		g_free(map);
		return message->base_version != 0 ? SKH_RANKRELAY_NO_BASE : STATUS_BAD;
	}
	g_free(known->map);
	*known = (skh_rank_map_t){ message->version, places, map };
	return STATUS_OK;
}

int32_t skh_rankrelay_unpack(skh_chunk_t bytes, skh_rank_map_t *known, skh_engine_order_t *order)
{
	Skh__RankOrder *message = skh__rank_order__unpack(NULL, bytes.len, bytes.data);
	int32_t status = STATUS_OK;

	if (!message)
		return STATUS_BAD;
	/* An order sent again finds its map known already. */
	if (message->op > SKH_ENGINE_GO)
		status = STATUS_BAD;
	else if (message->op == SKH_ENGINE_PREPARE && known->version != message->version)
		status = unpack_map(message, known);
	*order = (skh_engine_order_t){
		.op = (skh_engine_op_t)message->op,
		.version = message->version,
		.pass = message->pass,
		.epoch = message->epoch,
		.fence = message->fence,
		.map = known->map,
		.sets = message->sets,
		.ranks = message->ranks,
		.places = message->places,
	};
	skh__rank_order__free_unpacked(message, NULL);
	return status;
}

static void answer(skh_caller_conn_t *conn, int32_t status)
{
	const skh_answer_head_t head = { .status = status, .reason = "Order", .headers = "" };

	skh_caller_conn_begin(conn, &head);
	skh_caller_conn_end(conn);
}

static void on_engine_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	relayed_t *relayed = context;

	(void)tag;
	(void)body;
	if (relayed->conn)
		answer(relayed->conn, status == 0 ? STATUS_NO_ANSWER : status);
	g_free(relayed);
}

static void on_request(void *context, skh_caller_conn_t *conn, const skh_message_t *request)
{
	skh_rankrelay_t *relay = context;
	skh_engine_order_t order;
	int32_t status = STATUS_BAD;
	relayed_t *relayed;
	char *body;

	if (strcmp(request->target->str, SKH_RANKRELAY_PATH) == 0)
		status = skh_rankrelay_unpack(skh_buffer_chunk(&request->body), &relay->known,
					      &order);
	if (status != STATUS_OK) {
		skh_log(SKH_LOG_INFO, PART, "Order not taken.", "status=%d bytes=%zu", status,
			request->body.len);
		answer(conn, status);
		return;
	}
	relayed = g_new0(relayed_t, 1);
	relayed->conn = conn;
	skh_caller_conn_bind(conn, relayed);
	body = relay->dialect->write_order(&order);
	skh_engine_client_post(relay->engine, relay->dialect->order_path,
			       skh_chunk_from_string(body), ENGINE_TIMEOUT_US, 0, on_engine_answer,
			       relayed);
	free(body);
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
	.on_gone = on_gone,
	.on_drained = on_drained,
};

skh_rankrelay_t *skh_rankrelay_start(uv_loop_t *loop, const char *address,
				     skh_engine_client_t *engine, const skh_dialect_t *dialect,
				     skh_error_t *err)
{
	skh_rankrelay_t *relay = g_new0(skh_rankrelay_t, 1);

	relay->engine = engine;
	relay->dialect = dialect;
	relay->listener = skh_listener_start(loop, address, &relay_ops, relay, err);
	if (relay->listener)
		return relay;
	g_free(relay);
	return NULL;
}
