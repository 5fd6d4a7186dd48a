#include "backend.h"

#include "clock.h"
#include "event_stream.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define EVENT_SEPARATOR	      "\n\n"
#define EVENT_SEPARATOR_BYTES 2
#define END_MARKER	      "data: [DONE]"
#define STREAM_CONTENT_TYPE   "text/event-stream"
#define CANCEL_TIMEOUT_US     (2 * SKH_US_PER_S)
#define ORDER_TIMEOUT_US      (60 * SKH_US_PER_S)
#define GET_TIMEOUT_US	      (3 * SKH_US_PER_S)
#define HTTP_OK		      200

static void start_request(skh_backend_t *backend, skh_fetch_t *fetch, const Skh__Start *start,
			  int64_t deadline_us, int64_t now_us)
{
	g_autofree char *url = g_strconcat(backend->url, start->path, NULL);
	g_autofree char *content_type = g_strdup_printf("Content-Type: %s", start->content_type);
	g_autofree char *request_id = g_strdup_printf("X-Request-Id: %" PRIu64, start->attempt);
	g_autofree char *resume = g_strdup_printf("X-Resume-From: %" PRIu64, start->resume_from);
	g_autofree char *priority = g_strdup_printf("X-Priority: %u", start->priority);
	g_autofree char *time_left =
		g_strdup_printf("X-Deadline-Ms: %" PRId64, (deadline_us - now_us) / SKH_US_PER_MS);
	const char *const headers[] = {
		content_type, request_id, resume, priority, time_left, NULL
	};
	skh_fetch_request_t request = {
		.id = start->attempt,
		.method = start->method,
		.url = url,
		.headers = headers,
		.body = skh_chunk_make(start->body.data, start->body.len),
		.deadline_us = deadline_us,
		.at_most_once = !start->idempotent,
	};

	skh_fetch_start(fetch, &request, now_us);
}

static uint32_t count_events(skh_response_parser_t *parser, const uint8_t *data, size_t len)
{
	const char *event = (const char *)data;
	const char *end = event + len;
	uint32_t events = 0;

	while (event < end) {
		const char *next = g_strstr_len(event, end - event, EVENT_SEPARATOR);

		if (!next)
			break;
		if ((size_t)(next - event) >= strlen(END_MARKER) &&
		    memcmp(event, END_MARKER, strlen(END_MARKER)) == 0)
			parser->end_marker_seen = true;
		else
			events++;
		event = next + EVENT_SEPARATOR_BYTES;
	}
	return events;
}

/* @known_bytes: at the start of @buffer, in which no event ends */
static size_t find_last_event_end(const skh_buffer_t *buffer, size_t known_bytes)
{
	for (size_t i = buffer->len; i > known_bytes && i >= EVENT_SEPARATOR_BYTES; i--) {
		if (memcmp(buffer->data + i - EVENT_SEPARATOR_BYTES, EVENT_SEPARATOR,
			   EVENT_SEPARATOR_BYTES) == 0)
			return i;
	}
	return 0;
}

/* Forwards only complete events, so that a resumed stream continues at an event boundary. */
static uint32_t engine_parse_chunk(skh_response_parser_t *parser, const char *content_type,
				   skh_chunk_t chunk, skh_buffer_t *out)
{
	uint32_t events;
	size_t known_bytes = parser->partial_event.len;
	size_t complete_len;

	if (!g_str_has_prefix(content_type, STREAM_CONTENT_TYPE)) {
		skh_buffer_append(out, chunk);
		return 0;
	}
	parser->is_stream = true;
	if (parser->is_oversized)
		return 0;
	skh_buffer_append(&parser->partial_event, chunk);
	complete_len = find_last_event_end(&parser->partial_event, known_bytes);
	if (parser->partial_event.len - complete_len > SKH_EVENT_STREAM_MAX_EVENT_BYTES) {
		parser->is_oversized = true;
		skh_buffer_free(&parser->partial_event);
		return 0;
	}
	if (complete_len == 0)
		return 0;
	events = count_events(parser, parser->partial_event.data, complete_len);
	skh_buffer_append(out, skh_chunk_make(parser->partial_event.data, complete_len));
	skh_buffer_consume(&parser->partial_event, complete_len);
	return events;
}

static bool engine_is_complete(const skh_response_parser_t *parser, int32_t status)
{
	if (!parser->is_stream)
		return status != 0;
	return status == HTTP_OK && parser->end_marker_seen && !parser->is_oversized &&
	       parser->partial_event.len == 0;
}

static void engine_cancel(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t attempt, uint64_t id,
			  int64_t now_us)
{
	g_autofree char *url = g_strdup_printf("%s/v1/cancel/%" PRIu64, backend->url, attempt);
	skh_fetch_request_t request = {
		.id = id,
		.method = "POST",
		.url = url,
		.body = skh_chunk_from_string(""),
		.deadline_us = now_us + CANCEL_TIMEOUT_US,
	};

	skh_fetch_start(fetch, &request, now_us);
}

/* Sent at most once, because an order retried by libcurl could arrive after a later order. */
static void post_order(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id, const char *body,
		       int64_t now_us)
{
	static const char *const headers[] = { "Content-Type: application/json", NULL };
	g_autofree char *url = g_strconcat(backend->url, "/v1/orders", NULL);
	skh_fetch_request_t request = {
		.id = id,
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = skh_chunk_from_string(body),
		.deadline_us = now_us + ORDER_TIMEOUT_US,
		.at_most_once = true,
	};

	skh_fetch_start(fetch, &request, now_us);
}

static void engine_send_map_order(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				  const skh_mapswitch_order_t *order, const char *map,
				  int64_t now_us)
{
	static const char *const steps[] = { "prepare", "hold", "set", "go" };
	g_autofree char *body = g_strdup_printf(
		"{\"order\":\"%s\",\"fence\":%" PRIu64 ",\"version\":%" PRIu64 ",\"placement\":%s}",
		steps[order->step], order->fence, order->version, *map ? map : "null");

	post_order(backend, fetch, id, body, now_us);
}

static char *encode_order(const skh_backend_order_t *order)
{
	static const char *const kinds[] = { "load_model", "load_adapter", "set_role" };
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:I}", "order", kinds[order->kind], "name", order->name,
			  "version", order->version, "fence", (json_int_t)order->fence);
	char *dump = json_dumps(json, JSON_COMPACT);
	char *text = g_strdup(dump ? dump : "{}");

	free(dump);
	json_decref(json);
	return text;
}

static void engine_send_backend_order(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				      const skh_backend_order_t *order, int64_t now_us)
{
	g_autofree char *body = encode_order(order);

	post_order(backend, fetch, id, body, now_us);
}

static void start_get(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id, const char *path,
		      int64_t now_us)
{
	g_autofree char *url = g_strconcat(backend->url, path, NULL);
	skh_fetch_request_t request = {
		.id = id,
		.method = "GET",
		.url = url,
		.deadline_us = now_us + GET_TIMEOUT_US,
	};

	skh_fetch_start(fetch, &request, now_us);
}

static void engine_request_load_report(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				       int64_t now_us)
{
	start_get(backend, fetch, id, "/v1/load", now_us);
}

static void engine_request_cache_events(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
					uint64_t from, int64_t now_us)
{
	g_autofree char *path = g_strdup_printf("/v1/cache_events?from=%" PRIu64, from);

	start_get(backend, fetch, id, path, now_us);
}

static uint32_t plain_parse_chunk(skh_response_parser_t *parser, const char *content_type,
				  skh_chunk_t chunk, skh_buffer_t *out)
{
	(void)parser;
	(void)content_type;
	skh_buffer_append(out, chunk);
	return 0;
}

static bool plain_is_complete(const skh_response_parser_t *parser, int32_t status)
{
	(void)parser;
	return status != 0;
}

/* A plain service has no cancel request; closing the transfer is the only way to stop it. */
static void plain_cancel(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t attempt, uint64_t id,
			 int64_t now_us)
{
	(void)backend;
	(void)fetch;
	(void)attempt;
	(void)id;
	(void)now_us;
}

static const skh_backend_ops_t engine_ops = {
	.start = start_request,
	.parse_chunk = engine_parse_chunk,
	.is_complete = engine_is_complete,
	.cancel = engine_cancel,
	.send_map_order = engine_send_map_order,
	.send_backend_order = engine_send_backend_order,
	.request_load_report = engine_request_load_report,
	.request_cache_events = engine_request_cache_events,
};

static const skh_backend_ops_t plain_ops = {
	.start = start_request,
	.parse_chunk = plain_parse_chunk,
	.is_complete = plain_is_complete,
	.cancel = plain_cancel,
};

static skh_backend_t *new_backend(const skh_backend_ops_t *ops, const char *url)
{
	skh_backend_t *backend = g_new0(skh_backend_t, 1);

	backend->ops = ops;
	backend->url = g_strdup(url);
	return backend;
}

skh_backend_t *skh_backend_new_engine(const char *url)
{
	return new_backend(&engine_ops, url);
}

skh_backend_t *skh_backend_new_plain(const char *url)
{
	return new_backend(&plain_ops, url);
}

void skh_backend_free(skh_backend_t *backend)
{
	g_free(backend->url);
	g_free(backend);
}
