#include "engine.h"

#include "clock.h"
#include "log.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define PART	   "engine"
#define REPORT_US  (1 * SKH_US_PER_S)
#define HTTP_OK	   200
#define MAX_REPORT (1U << 20)
#define KIND_SHIFT 56 /* the kind of a transfer stands in the top byte of its id */

enum transfer_kind {
	TRANSFER_LOAD = 1,
	TRANSFER_EVENTS,
	TRANSFER_ORDER
};

struct skh_engine {
	skh_backend_t *backend;
	skh_fetch_t *fetch;
	GMutex lock; /* guards the view and the queue */
	skh_engine_view_t view;
	GQueue orders; /* skh_backend_order_t, owned */
	bool order_under_way;
	bool load_under_way;
	bool events_under_way;
	skh_buffer_t load_text;
	skh_buffer_t events_text;
	uint64_t transfers;
	int64_t ask_at_us;
};

bool skh_engine_read_load(skh_chunk_t text, skh_engine_view_t *view)
{
	json_t *json = json_loadb((const char *)text.data, text.len, 0, NULL);
	json_int_t running = json_integer_value(json_object_get(json, "running"));
	json_int_t queued = json_integer_value(json_object_get(json, "queued"));
	bool good = json_is_object(json) && running >= 0 && queued >= 0 && running <= UINT32_MAX &&
		    queued <= UINT32_MAX;

	if (good) {
		view->running = (uint32_t)running;
		view->queued = (uint32_t)queued;
	}
	json_decref(json);
	return good;
}

static void take_event(const json_t *event, skh_engine_view_t *view)
{
	json_int_t number = json_integer_value(json_object_get(event, "seq"));
	const char *kind = json_string_value(json_object_get(event, "event"));

	/* Events that were seen before, or that have no number, tell nothing new. */
	if (number <= 0 || (uint64_t)number < view->next_event || !kind)
		return;
	view->events_missed += (uint64_t)number - view->next_event;
	view->next_event = (uint64_t)number + 1;
	if (strcmp(kind, "stored") == 0)
		view->cached_prefixes++;
	else if (strcmp(kind, "evicted") == 0 && view->cached_prefixes > 0)
		view->cached_prefixes--;
	else if (strcmp(kind, "cleared") == 0)
		view->cached_prefixes = 0;
}

bool skh_engine_read_events(skh_chunk_t text, skh_engine_view_t *view)
{
	json_t *json = json_loadb((const char *)text.data, text.len, 0, NULL);
	const json_t *event;
	size_t index;
	bool good = json_is_array(json);

	json_array_foreach(json, index, event) take_event(event, view);
	json_decref(json);
	return good;
}

static uint64_t new_transfer(skh_engine_t *engine, enum transfer_kind kind)
{
	return ((uint64_t)kind << KIND_SHIFT) | ++engine->transfers;
}

static void keep(skh_buffer_t *buffer, skh_chunk_t bytes)
{
	if (buffer->len + bytes.len <= MAX_REPORT)
		skh_buffer_append(buffer, bytes);
}

static void on_bytes(void *context, uint64_t id, int32_t status, const char *content_type,
		     skh_chunk_t bytes)
{
	skh_engine_t *engine = context;

	(void)status;
	(void)content_type;
	if (id >> KIND_SHIFT == TRANSFER_LOAD)
		keep(&engine->load_text, bytes);
	else if (id >> KIND_SHIFT == TRANSFER_EVENTS)
		keep(&engine->events_text, bytes);
}

static void end_load(skh_engine_t *engine, bool good)
{
	engine->load_under_way = false;
	if (good && skh_engine_read_load(skh_buffer_chunk(&engine->load_text), &engine->view))
		engine->view.reported_at_us = skh_clock_now_us();
}

static void end_events(skh_engine_t *engine, bool good)
{
	engine->events_under_way = false;
	if (good)
		(void)skh_engine_read_events(skh_buffer_chunk(&engine->events_text), &engine->view);
}

static void end_order(skh_engine_t *engine, bool good)
{
	engine->order_under_way = false;
	if (good)
		engine->view.orders_done++;
	else
		engine->view.orders_failed++;
	skh_log(good ? SKH_LOG_INFO : SKH_LOG_WARNING, PART,
		good ? "The engine carried out an order."
		     : "The engine did not carry out an order.",
		"done=%" PRIu64 " failed=%" PRIu64, engine->view.orders_done,
		engine->view.orders_failed);
}

static void on_done(void *context, uint64_t id, int32_t status, const char *content_type,
		    const skh_error_t *err)
{
	skh_engine_t *engine = context;
	bool good = !err && status == HTTP_OK;

	(void)content_type;
	g_mutex_lock(&engine->lock);
	if (id >> KIND_SHIFT == TRANSFER_LOAD)
		end_load(engine, good);
	else if (id >> KIND_SHIFT == TRANSFER_EVENTS)
		end_events(engine, good);
	else
		end_order(engine, good);
	g_mutex_unlock(&engine->lock);
}

static void ask_for_reports(skh_engine_t *engine, int64_t now_us)
{
	const skh_backend_ops_t *ops = engine->backend->ops;

	if (now_us < engine->ask_at_us)
		return;
	engine->ask_at_us = now_us + REPORT_US;
	if (!engine->load_under_way) {
		engine->load_under_way = true;
		skh_buffer_clear(&engine->load_text);
		ops->request_load_report(engine->backend, engine->fetch,
					 new_transfer(engine, TRANSFER_LOAD), now_us);
	}
	if (!engine->events_under_way) {
		engine->events_under_way = true;
		skh_buffer_clear(&engine->events_text);
		ops->request_cache_events(engine->backend, engine->fetch,
					  new_transfer(engine, TRANSFER_EVENTS),
					  engine->view.next_event, now_us);
	}
}

/* One at a time and in order, so that a later order is never overtaken by an earlier one. */
static void give_next_order(skh_engine_t *engine, int64_t now_us)
{
	skh_backend_order_t *order = NULL;

	g_mutex_lock(&engine->lock);
	if (!engine->order_under_way)
		order = g_queue_pop_head(&engine->orders);
	if (order)
		engine->order_under_way = true;
	g_mutex_unlock(&engine->lock);
	if (order)
		engine->backend->ops->send_backend_order(engine->backend, engine->fetch,
							 new_transfer(engine, TRANSFER_ORDER),
							 order, now_us);
	g_free(order);
}

void skh_engine_tick(skh_engine_t *engine, int64_t now_us)
{
	skh_fetch_poll(engine->fetch, now_us);
	ask_for_reports(engine, now_us);
	give_next_order(engine, now_us);
}

void skh_engine_get_view(skh_engine_t *engine, skh_engine_view_t *view)
{
	g_mutex_lock(&engine->lock);
	*view = engine->view;
	g_mutex_unlock(&engine->lock);
}

void skh_engine_enqueue_order(skh_engine_t *engine, const skh_backend_order_t *order)
{
	g_mutex_lock(&engine->lock);
	g_queue_push_tail(&engine->orders, g_memdup2(order, sizeof(*order)));
	g_mutex_unlock(&engine->lock);
}

static const skh_fetch_ops_t fetch_events = { .on_body = on_bytes, .on_done = on_done };

skh_engine_t *skh_engine_new(skh_backend_t *backend)
{
	skh_engine_t *engine;

	if (!backend->ops->request_load_report)
		return NULL;
	engine = g_new0(skh_engine_t, 1);
	engine->backend = backend;
	engine->fetch = skh_fetch_new(&fetch_events, engine);
	engine->view.next_event = 1;
	g_mutex_init(&engine->lock);
	g_queue_init(&engine->orders);
	return engine;
}

void skh_engine_free(skh_engine_t *engine)
{
	if (!engine)
		return;
	skh_fetch_free(engine->fetch);
	skh_buffer_free(&engine->load_text);
	skh_buffer_free(&engine->events_text);
	g_queue_clear_full(&engine->orders, g_free);
	g_mutex_clear(&engine->lock);
	g_free(engine);
}
