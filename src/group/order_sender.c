#include "order_sender.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "order_batch.h"
#include "rankrelay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART		 "group"
#define ORDER_TIMEOUT_US (100 * SKH_US_PER_MS)
/* Longer than ORDER_TIMEOUT_US because the relay retries an order at its engine for 180 ms. */
#define RELAY_TIMEOUT_US (220 * SKH_US_PER_MS)
/* Longer than RELAY_TIMEOUT_US by the second hop. */
#define BATCH_TIMEOUT_US (260 * SKH_US_PER_MS)
/*
 * Shorter than ORDER_TIMEOUT_US because the group may be stopped until the hold is confirmed.
 * Allows for three network hops of one millisecond each and for slow processes.
 */
#define HOLD_TIMEOUT_US (60 * SKH_US_PER_MS)
/* Bits of an order's tag that hold the rank; more than SKH_GROUPVIEW_MAX_RANKS needs. */
#define TAG_RANK_BITS	   16
#define STATUS_BAD_REQUEST 400

/* How the next order is sent to one rank. */
typedef struct order_route {
	bool is_direct;		 /* bypass the relay, which did not respond to the last order */
	bool is_relay_silent;	 /* the relay itself did not respond in this change */
	bool needs_complete_map; /* the relay lacks the map that differences refer to */
	bool cannot_head;	 /* the relay did not respond to the last batch */
	skh_engine_op_t last_op;
	bool is_waiting; /* @waiting is sent once the engine has confirmed its group */
	skh_mapchange_order_t waiting;
} order_route_t;

/* Batch in progress; the first of @ranks is its head. */
typedef struct batch {
	skh_order_sender_t *sender;
	uint32_t change_number;
	uint32_t n_ranks;
	uint32_t *ranks;
} batch_t;

struct skh_order_sender {
	skh_order_sender_options_t options;
	order_route_t *routes; /* [@n_ranks] */
	uint32_t n_ranks;
	uint32_t proxy_rank;
	bool bypass_proxy;	/* the proxy did not respond to the last hold order */
	uint32_t change_number; /* part of an order's tag; see order_tag() */
	GPtrArray *batches;	/* batch_t, owned */
};

static void free_batch(gpointer data)
{
	batch_t *batch = data;

	g_free(batch->ranks);
	g_free(batch);
}

skh_order_sender_t *skh_order_sender_new(const skh_order_sender_options_t *options)
{
	skh_order_sender_t *sender = g_new0(skh_order_sender_t, 1);

	sender->options = *options;
	sender->batches = g_ptr_array_new_with_free_func(free_batch);
	return sender;
}

void skh_order_sender_free(skh_order_sender_t *sender)
{
	g_ptr_array_unref(sender->batches);
	g_free(sender->routes);
	g_free(sender);
}

void skh_order_sender_resize(skh_order_sender_t *sender, uint32_t n_ranks)
{
	g_free(sender->routes);
	sender->routes = g_new0(order_route_t, n_ranks);
	sender->n_ranks = n_ranks;
}

void skh_order_sender_begin_change(skh_order_sender_t *sender, uint32_t proxy_rank)
{
	sender->change_number++;
	sender->proxy_rank = proxy_rank;
	sender->bypass_proxy = false;
	/* A silent relay is tried again in each change, because direct orders have a price. */
	for (uint32_t rank = 0; rank < sender->n_ranks; rank++) {
		sender->routes[rank].is_direct = false;
		sender->routes[rank].is_relay_silent = false;
		sender->routes[rank].is_waiting = false;
	}
}

static const char *op_name(skh_engine_op_t op)
{
	static const char *const names[] = {
		[SKH_ENGINE_PREPARE] = "prepare", [SKH_ENGINE_ARM] = "arm",
		[SKH_ENGINE_DISARM] = "disarm",	  [SKH_ENGINE_HOLD] = "hold",
		[SKH_ENGINE_RELEASE] = "go",
	};

	return names[op];
}

/* --- Results --- */

static skh_mapchange_order_result_t order_result_from_status(int32_t status)
{
	switch (status) {
	case 200:
	case 202:
		return SKH_MAPCHANGE_ORDER_ACCEPTED;
	case 412:
		return SKH_MAPCHANGE_ORDER_FENCED;
	case 0:
	case SKH_RANKRELAY_STATUS_NO_BASE:
	case 502:
	case 503:
	case 504:
		return SKH_MAPCHANGE_ORDER_NO_RESPONSE;
	default:
		return SKH_MAPCHANGE_ORDER_CONFLICT;
	}
}

static bool is_sent_by_proxy(const skh_order_sender_t *sender, skh_engine_op_t op)
{
	return op == SKH_ENGINE_HOLD && sender->proxy_rank != sender->options.view->own_rank &&
	       !sender->bypass_proxy;
}

static void update_route(skh_order_sender_t *sender, uint32_t rank, int32_t status)
{
	order_route_t *route = &sender->routes[rank];
	bool has_no_response = order_result_from_status(status) == SKH_MAPCHANGE_ORDER_NO_RESPONSE;

	if (is_sent_by_proxy(sender, route->last_op)) {
		sender->bypass_proxy = has_no_response;
		return;
	}
	/*
	 * Without a response the next order takes the other route: an exited or frozen relay must
	 * not keep orders from its engine. The relay is tried again in this change if it has said
	 * that its engine did not respond, but not if it was silent, as each order to it then takes
	 * 0.22 s. A relay of an older release rejects differences from the first map as a bad
	 * request.
	 */
	route->needs_complete_map =
		status == SKH_RANKRELAY_STATUS_NO_BASE || status == STATUS_BAD_REQUEST;
	route->is_relay_silent = route->is_relay_silent || (status == 0 && !route->is_direct);
	if (route->needs_complete_map)
		route->is_direct = false;
	else if (has_no_response)
		route->is_direct = !route->is_direct;
	else
		route->is_direct = route->is_direct && route->is_relay_silent;
}

static void report_result(skh_order_sender_t *sender, uint32_t rank, int32_t status)
{
	skh_mapchange_order_result_t result = order_result_from_status(status);

	if (result != SKH_MAPCHANGE_ORDER_ACCEPTED)
		skh_log(SKH_LOG_INFO, PART, "Rank did not accept an order.",
			"rank=%u op=%s status=%d version=%" PRId64 " next_direct=%d", rank,
			op_name(sender->routes[rank].last_op), status,
			sender->options.view->next_version, sender->routes[rank].is_direct);
	sender->options.on_result(sender->options.context, rank, result);
}

/*
 * The response to an order may arrive after the end of its change. The change number in the tag
 * keeps it from being matched with an order of the next change.
 */
static uint32_t order_tag(const skh_order_sender_t *sender, uint32_t rank)
{
	return sender->change_number << TAG_RANK_BITS | rank;
}

static void on_order_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_order_sender_t *sender = context;
	uint32_t rank = tag & ((1U << TAG_RANK_BITS) - 1);

	(void)body;
	if (tag != order_tag(sender, rank) || rank >= sender->n_ranks)
		return;
	update_route(sender, rank, status);
	report_result(sender, rank, status);
}

static void on_batch_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	batch_t *batch = context;
	skh_order_sender_t *sender = batch->sender;
	bool is_current = batch->change_number == sender->change_number;
	uint32_t *statuses = g_new0(uint32_t, batch->n_ranks);
	bool has_statuses =
		status == 200 && skh_order_batch_unpack_statuses(body, statuses, batch->n_ranks);

	(void)tag;
	if (is_current && !has_statuses)
		skh_log(SKH_LOG_INFO, PART,
			"Relay did not pass on a batch; its ranks get their orders one by one.",
			"rank=%u status=%d ranks=%u", batch->ranks[0], status, batch->n_ranks);
	/* Without statuses, nothing is known about the relays of the other ranks. */
	for (uint32_t i = 0; is_current && i < batch->n_ranks; i++) {
		uint32_t rank = batch->ranks[i];

		if (rank >= sender->n_ranks)
			continue;
		if (has_statuses)
			update_route(sender, rank, (int32_t)statuses[i]);
		sender->routes[rank].cannot_head = !has_statuses && i == 0;
	}
	for (uint32_t i = 0; is_current && i < batch->n_ranks; i++) {
		if (batch->change_number == sender->change_number &&
		    batch->ranks[i] < sender->n_ranks)
			report_result(sender, batch->ranks[i], (int32_t)statuses[i]);
	}
	g_free(statuses);
	(void)g_ptr_array_remove_fast(sender->batches, batch);
}

/* --- Sending --- */

static void post_direct(skh_order_sender_t *sender, uint32_t rank,
			const skh_mapchange_order_t *order)
{
	char *body = sender->options.dialect->write_order(order);

	skh_engine_client_order(sender->options.view->ranks[rank].engine,
				sender->options.dialect->order_path, skh_chunk_from_string(body),
				ORDER_TIMEOUT_US, order_tag(sender, rank), on_order_response,
				sender);
	free(body);
}

/* No relay checks that the engine is still in the group, so its own recent word is needed. */
static void send_direct(skh_order_sender_t *sender, uint32_t rank,
			const skh_mapchange_order_t *order)
{
	order_route_t *route = &sender->routes[rank];

	if (skh_groupview_is_confirmed(sender->options.view, rank, order->epoch,
				       skh_clock_boot_us())) {
		post_direct(sender, rank, order);
		return;
	}
	route->waiting = *order;
	route->is_waiting = true;
	sender->options.poll_engine(sender->options.context, rank);
}

void skh_order_sender_record_poll(skh_order_sender_t *sender, uint32_t rank, int64_t now_us)
{
	order_route_t *route = rank < sender->n_ranks ? &sender->routes[rank] : NULL;

	if (!route || !route->is_waiting)
		return;
	route->is_waiting = false;
	if (skh_groupview_is_confirmed(sender->options.view, rank, route->waiting.epoch, now_us)) {
		post_direct(sender, rank, &route->waiting);
		return;
	}
	update_route(sender, rank, 0);
	report_result(sender, rank, 0);
}

/* @engine is NULL for the engine beside the relay; see skh_rankrelay_pack(). */
static void pack_order(const skh_order_sender_t *sender, uint32_t rank,
		       const skh_mapchange_order_t *order, const char *engine, skh_buffer_t *out)
{
	const skh_groupview_t *view = sender->options.view;
	const skh_versioned_map_t base = { view->ranks[rank].report.map_version,
					   skh_groupview_map_size(view), view->map };

	skh_rankrelay_pack(order, sender->routes[rank].needs_complete_map ? NULL : &base,
			   view->engine_spec.experts_per_set, view->group, engine, out);
}

/*
 * Sends the order through the relay of @relay_rank. The relay of @rank itself receives the map as
 * differences and sends the order to the engine beside it; the relay of the proxy rank sends the
 * order to the coordinator's engine over the network.
 */
static void send_relayed(skh_order_sender_t *sender, uint32_t rank, uint32_t relay_rank,
			 const skh_mapchange_order_t *order)
{
	const skh_groupview_t *view = sender->options.view;
	skh_buffer_t body = SKH_BUFFER_INIT;

	pack_order(sender, rank, order,
		   relay_rank == rank ? NULL : skh_engine_client_address(view->ranks[rank].engine),
		   &body);
	skh_engine_client_post(view->ranks[relay_rank].relay, SKH_RANKRELAY_PATH,
			       skh_buffer_chunk(&body),
			       relay_rank == rank ? RELAY_TIMEOUT_US : HOLD_TIMEOUT_US,
			       order_tag(sender, rank), on_order_response, sender);
	skh_buffer_free(&body);
}

static void prepare_to_send(skh_order_sender_t *sender, uint32_t rank, skh_mapchange_order_t *order)
{
	const skh_groupview_t *view = sender->options.view;

	order->map = view->next_map;
	order->n_sets = view->engine_spec.expert_sets;
	order->n_ranks = view->n_ranks;
	order->n_slots = view->engine_spec.slots_per_rank;
	sender->routes[rank].last_op = order->op;
	skh_log(SKH_LOG_DEBUG, PART, "Order sent to a rank.",
		"rank=%u op=%s version=%" PRId64 " pass=%" PRId64, rank, op_name(order->op),
		order->map_version, order->pass);
	skh_metrics_add(SKH_COUNT_ENGINE_ORDERS, 1);
}

static void send_one(skh_order_sender_t *sender, const skh_rank_order_t *rank_order)
{
	uint32_t rank = rank_order->rank;
	skh_mapchange_order_t order = rank_order->order;

	prepare_to_send(sender, rank, &order);
	if (is_sent_by_proxy(sender, order.op))
		send_relayed(sender, rank, sender->proxy_rank, &order);
	else if (sender->options.view->ranks[rank].relay && !sender->routes[rank].is_direct)
		send_relayed(sender, rank, rank, &order);
	else
		send_direct(sender, rank, &order);
}

/* --- Batches --- */

static bool is_same_order(const skh_mapchange_order_t *a, const skh_mapchange_order_t *b)
{
	return a->op == b->op && a->map_version == b->map_version && a->pass == b->pass &&
	       a->epoch == b->epoch && a->fence == b->fence;
}

/* Whether the order can be passed on by another rank; all of a batch refer to the same base map. */
static bool can_batch(const skh_order_sender_t *sender, const skh_rank_order_t *order,
		      const skh_rank_order_t *first)
{
	const skh_groupview_rank_t *state = &sender->options.view->ranks[order->rank];
	const order_route_t *route = &sender->routes[order->rank];

	return state->relay && !route->is_direct && !route->needs_complete_map &&
	       is_same_order(&order->order, &first->order) &&
	       state->report.map_version ==
		       sender->options.view->ranks[first->rank].report.map_version;
}

/* Moves the rank whose process was heard last to the front, unless it failed as a head. */
static void choose_head(const skh_order_sender_t *sender, uint32_t *ranks, uint32_t n_ranks)
{
	const skh_groupview_rank_t *states = sender->options.view->ranks;
	uint32_t head = 0;
	uint32_t first = ranks[0];

	for (uint32_t i = 1; i < n_ranks; i++) {
		const order_route_t *route = &sender->routes[ranks[i]];
		bool is_better =
			sender->routes[ranks[head]].cannot_head ||
			states[ranks[i]].last_received_us > states[ranks[head]].last_received_us;

		if (!route->cannot_head && is_better)
			head = i;
	}
	ranks[0] = ranks[head];
	ranks[head] = first;
}

/* Takes over @ranks; the first is the head. */
static void send_batch(skh_order_sender_t *sender, uint32_t *ranks, uint32_t n_ranks,
		       skh_mapchange_order_t order)
{
	const skh_groupview_t *view = sender->options.view;
	g_autofree const char **relays = g_new0(const char *, n_ranks);
	skh_buffer_t packed = SKH_BUFFER_INIT;
	skh_buffer_t body = SKH_BUFFER_INIT;
	batch_t *batch = g_new0(batch_t, 1);

	*batch = (batch_t){ sender, sender->change_number, n_ranks, ranks };
	g_ptr_array_add(sender->batches, batch);
	for (uint32_t i = 0; i < n_ranks; i++) {
		prepare_to_send(sender, ranks[i], &order);
		relays[i] = skh_engine_client_address(view->ranks[ranks[i]].relay);
	}
	pack_order(sender, ranks[0], &order, NULL, &packed);
	skh_order_batch_pack(skh_buffer_chunk(&packed), relays + 1, n_ranks - 1, &body);
	skh_engine_client_post(view->ranks[ranks[0]].relay, SKH_ORDER_BATCH_PATH,
			       skh_buffer_chunk(&body), BATCH_TIMEOUT_US, 0, on_batch_response,
			       batch);
	skh_buffer_free(&packed);
	skh_buffer_free(&body);
}

static void send_batches(skh_order_sender_t *sender, const uint32_t *ranks, uint32_t n_ranks,
			 uint32_t n_batches, const skh_mapchange_order_t *order)
{
	for (uint32_t i = 0; i < n_batches; i++) {
		uint32_t first;
		uint32_t n = skh_order_batch_range(n_ranks, n_batches, i, &first);
		uint32_t *batch_ranks = g_memdup2(ranks + first, n * sizeof(*ranks));

		choose_head(sender, batch_ranks, n);
		send_batch(sender, batch_ranks, n, *order);
	}
}

void skh_order_sender_send(skh_order_sender_t *sender, const skh_rank_order_t *orders,
			   uint32_t n_orders)
{
	uint32_t *batched = g_new(uint32_t, n_orders + 1);
	uint32_t n_batched = 0;
	uint32_t n_batches;

	for (uint32_t i = 0; i < n_orders; i++) {
		if (can_batch(sender, &orders[i], &orders[0]))
			batched[n_batched++] = orders[i].rank;
	}
	n_batches = skh_order_batch_count(n_batched);
	for (uint32_t i = 0; i < n_orders; i++) {
		if (n_batches == 0 || !can_batch(sender, &orders[i], &orders[0]))
			send_one(sender, &orders[i]);
	}
	if (n_batches > 0)
		send_batches(sender, batched, n_batched, n_batches, &orders[0].order);
	g_free(batched);
}
