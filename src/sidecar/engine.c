#include "engine.h"

#include "clock.h"
#include "log.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define PART		    "engine"
#define REPORT_INTERVAL_US  (1 * SKH_US_PER_S)
#define HTTP_OK		    200
#define MAX_REPORT_BYTES    (1U << 20)
#define TRANSFER_KIND_SHIFT 56 /* position of the kind in the id of a transfer: its top byte */

enum transfer_kind {
	TRANSFER_LOAD = 1,
	TRANSFER_EVENTS,
	TRANSFER_ORDER
};

struct skh_engine {
	skh_backend_t *backend;
	skh_fetch_t *fetch;
	GMutex lock; /* guards @view and @orders */
	skh_engine_view_t view;
	GQueue orders; /* skh_backend_order_t, owned */
	bool is_order_pending;
	bool is_load_pending;
	bool are_events_pending;
	skh_buffer_t load_text;
	skh_buffer_t events_text;
	uint64_t transfer_count;
	int64_t next_report_us; /* time at which the next reports are requested */
};

bool skh_engine_read_load(skh_chunk_t text, skh_engine_view_t *view)
{
	json_t *json = json_loadb((const char *)text.data, text.len, 0, NULL);
	json_int_t running = json_integer_value(json_object_get(json, "running"));
	json_int_t queued = json_integer_value(json_object_get(json, "queued"));
	bool is_valid = json_is_object(json) && running >= 0 && queued >= 0 &&
			running <= UINT32_MAX && queued <= UINT32_MAX;

	if (is_valid) {
		view->running = (uint32_t)running;
		view->queued = (uint32_t)queued;
	}
	json_decref(json);
	return is_valid;
}

static void apply_event(const json_t *event, skh_engine_view_t *view)
{
	json_int_t sequence = json_integer_value(json_object_get(event, "seq"));
	const char *kind = json_string_value(json_object_get(event, "event"));

	/* Ignores events that were applied before or lack a sequence number or a kind. */
	if (sequence <= 0 || (uint64_t)sequence < view->next_event || !kind)
		return;
	view->events_missed += (uint64_t)sequence - view->next_event;
	view->next_event = (uint64_t)sequence + 1;
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
	bool is_valid = json_is_array(json);

	json_array_foreach(json, index, event) apply_event(event, view);
	json_decref(json);
	return is_valid;
}

static uint64_t next_transfer_id(skh_engine_t *engine, enum transfer_kind kind)
{
	return ((uint64_t)kind << TRANSFER_KIND_SHIFT) | ++engine->transfer_count;
}

static void append_report(skh_buffer_t *buffer, skh_chunk_t bytes)
{
	if (buffer->len + bytes.len <= MAX_REPORT_BYTES)
		skh_buffer_append(buffer, bytes);
}

static void on_body(void *context, uint64_t id, int32_t status, const char *content_type,
		    skh_chunk_t bytes)
{
	skh_engine_t *engine = context;

	(void)status;
	(void)content_type;
	if (id >> TRANSFER_KIND_SHIFT == TRANSFER_LOAD)
		append_report(&engine->load_text, bytes);
	else if (id >> TRANSFER_KIND_SHIFT == TRANSFER_EVENTS)
		append_report(&engine->events_text, bytes);
}

static void finish_load_report(skh_engine_t *engine, bool succeeded)
{
	engine->is_load_pending = false;
	if (succeeded && skh_engine_read_load(skh_buffer_chunk(&engine->load_text), &engine->view))
		engine->view.reported_us = skh_clock_now_us();
}

static void finish_events(skh_engine_t *engine, bool succeeded)
{
	engine->are_events_pending = false;
	if (succeeded)
		(void)skh_engine_read_events(skh_buffer_chunk(&engine->events_text), &engine->view);
}

static void finish_order(skh_engine_t *engine, bool succeeded)
{
	engine->is_order_pending = false;
	if (succeeded)
		engine->view.orders_done++;
	else
		engine->view.orders_failed++;
	skh_log(succeeded ? SKH_LOG_INFO : SKH_LOG_WARNING, PART,
		succeeded ? "The engine executed an order." : "An order to the engine failed.",
		"done=%" PRIu64 " failed=%" PRIu64, engine->view.orders_done,
		engine->view.orders_failed);
}

static void on_done(void *context, uint64_t id, int32_t status, const char *content_type,
		    const skh_error_t *err)
{
	skh_engine_t *engine = context;
	bool succeeded = !err && status == HTTP_OK;

	(void)content_type;
	g_mutex_lock(&engine->lock);
	if (id >> TRANSFER_KIND_SHIFT == TRANSFER_LOAD)
		finish_load_report(engine, succeeded);
	else if (id >> TRANSFER_KIND_SHIFT == TRANSFER_EVENTS)
		finish_events(engine, succeeded);
	else
		finish_order(engine, succeeded);
	g_mutex_unlock(&engine->lock);
}

static void request_reports(skh_engine_t *engine, int64_t now_us)
{
	const skh_backend_ops_t *ops = engine->backend->ops;

	if (now_us < engine->next_report_us)
		return;
	engine->next_report_us = now_us + REPORT_INTERVAL_US;
	if (!engine->is_load_pending) {
		engine->is_load_pending = true;
		skh_buffer_clear(&engine->load_text);
		ops->request_load_report(engine->backend, engine->fetch,
					 next_transfer_id(engine, TRANSFER_LOAD), now_us);
	}
	if (!engine->are_events_pending) {
		engine->are_events_pending = true;
		skh_buffer_clear(&engine->events_text);
		ops->request_cache_events(engine->backend, engine->fetch,
					  next_transfer_id(engine, TRANSFER_EVENTS),
					  engine->view.next_event, now_us);
	}
}

/* Sends one order at a time, so that an earlier order never takes effect after a later one. */
static void send_next_order(skh_engine_t *engine, int64_t now_us)
{
	skh_backend_order_t *order = NULL;

	g_mutex_lock(&engine->lock);
	if (!engine->is_order_pending)
		order = g_queue_pop_head(&engine->orders);
	if (order)
		engine->is_order_pending = true;
	g_mutex_unlock(&engine->lock);
	if (order)
		engine->backend->ops->send_backend_order(engine->backend, engine->fetch,
							 next_transfer_id(engine, TRANSFER_ORDER),
							 order, now_us);
	g_free(order);
}

void skh_engine_tick(skh_engine_t *engine, int64_t now_us)
{
	skh_fetch_poll(engine->fetch, now_us);
	request_reports(engine, now_us);
	send_next_order(engine, now_us);
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

static const skh_fetch_ops_t fetch_ops = { .on_body = on_body, .on_done = on_done };

skh_engine_t *skh_engine_new(skh_backend_t *backend)
{
	skh_engine_t *engine;

	if (!backend->ops->request_load_report)
		return NULL;
	engine = g_new0(skh_engine_t, 1);
	engine->backend = backend;
	engine->fetch = skh_fetch_new(&fetch_ops, engine);
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
