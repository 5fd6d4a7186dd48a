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
#define STATUS_BAD	  400
#define STATUS_NO_ANSWER  504

struct skh_rankrelay {
	skh_listener_t *listener;
	skh_engine_client_t *engine;
	const skh_dialect_t *dialect;
};

/* One order; outlives the caller's connection if that is closed first. */
typedef struct relayed {
	skh_caller_conn_t *conn; /* NULL when the caller has left */
} relayed_t;

void skh_rankrelay_pack(const skh_engine_order_t *order, skh_buffer_t *out)
{
	Skh__RankOrder message = SKH__RANK_ORDER__INIT;
	size_t places = (size_t)order->sets * order->ranks * order->places;
	g_autofree uint8_t *map = NULL;

	message.op = (uint32_t)order->op;
	message.version = order->version;
	message.pass = order->pass;
	message.epoch = order->epoch;
	message.fence = order->fence;
	if (order->op == SKH_ENGINE_PREPARE) {
		message.sets = order->sets;
		message.ranks = order->ranks;
		message.places = order->places;
		map = g_new(uint8_t, places * BYTES_A_PLACE + 1);
		for (size_t i = 0; i < places; i++) {
			map[i * BYTES_A_PLACE] = (uint8_t)(order->map[i] & 0xFF);
			map[i * BYTES_A_PLACE + 1] = (uint8_t)(order->map[i] >> 8);
		}
		message.map = (ProtobufCBinaryData){ places * BYTES_A_PLACE, map };
	}
	(void)skh__rank_order__pack(
		&message, skh_buffer_extend(out, skh__rank_order__get_packed_size(&message)));
}

static bool unpack_map(const Skh__RankOrder *message, uint32_t **map)
{
	uint64_t places = (uint64_t)message->sets * message->ranks * message->places;

	if (places > MAX_PLACES || message->map.len != places * BYTES_A_PLACE)
		return false;
	*map = g_new(uint32_t, places + 1);
	for (uint64_t i = 0; i < places; i++)
		(*map)[i] = (uint32_t)message->map.data[i * BYTES_A_PLACE] |
			    (uint32_t)message->map.data[i * BYTES_A_PLACE + 1] << 8;
	return true;
}

bool skh_rankrelay_unpack(skh_chunk_t bytes, skh_engine_order_t *order, uint32_t **map)
{
	Skh__RankOrder *message = skh__rank_order__unpack(NULL, bytes.len, bytes.data);
	bool valid;

	*map = NULL;
	if (!message)
		return false;
	valid = message->op <= SKH_ENGINE_GO && unpack_map(message, map);
	*order = (skh_engine_order_t){
		.op = (skh_engine_op_t)message->op,
		.version = message->version,
		.pass = message->pass,
		.epoch = message->epoch,
		.fence = message->fence,
		.map = *map,
		.sets = message->sets,
		.ranks = message->ranks,
		.places = message->places,
	};
	skh__rank_order__free_unpacked(message, NULL);
	return valid;
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
	g_autofree uint32_t *map = NULL;
	relayed_t *relayed;
	char *body;

	if (strcmp(request->target->str, SKH_RANKRELAY_PATH) != 0 ||
	    !skh_rankrelay_unpack(skh_buffer_chunk(&request->body), &order, &map)) {
		skh_log(SKH_LOG_WARNING, PART, "Order not read.", "bytes=%zu", request->body.len);
		answer(conn, STATUS_BAD);
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
