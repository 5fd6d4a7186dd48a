#include "engine_client.h"

#include "address.h"
#include "clock.h"
#include "log.h"

#include <string.h>

#define PART "engine"
/* Of a response without a map or counts; the names of models and adapters take most of it. */
#define BASE_RESPONSE_BYTES ((size_t)256 << 10)
/* Digits of a 64-bit number, with a sign, a comma and a space. */
#define NUMBER_BYTES 23

struct skh_engine_client {
	uv_loop_t *loop;
	char *address;
	skh_upstream_pool_t *pool;
	size_t max_response_bytes;
	GQueue calls;
};

typedef struct call {
	skh_engine_client_t *client;
	GList link;
	uv_timer_t timer;
	skh_upstream_t *upstream;
	skh_buffer_t body;
	uint32_t tag;
	skh_engine_response_fn fn; /* NULL when the result is ignored */
	void *context;
} call_t;

static void on_timer_closed(uv_handle_t *handle)
{
	call_t *call = handle->data;

	skh_buffer_free(&call->body);
	g_free(call);
}

static void finish_call(call_t *call, int32_t status)
{
	skh_engine_response_fn fn = call->fn;

	if (call->upstream)
		skh_upstream_cancel(call->upstream);
	call->upstream = NULL;
	call->fn = NULL;
	g_queue_unlink(&call->client->calls, &call->link);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
	if (fn)
		fn(call->context, call->tag, status, skh_buffer_chunk(&call->body));
}

static void log_too_large(const call_t *call)
{
	skh_log(SKH_LOG_WARNING, PART, "Response is too large and counts as lost.",
		"engine=%s max_bytes=%zu", call->client->address, call->client->max_response_bytes);
}

static bool on_response_head(void *context, const skh_http_message_t *response)
{
	const call_t *call = context;

	if (!(response->parser.flags & F_CONTENTLENGTH) ||
	    response->parser.content_length <= call->client->max_response_bytes)
		return true;
	log_too_large(call);
	return false;
}

static void on_response_body(void *context, skh_chunk_t bytes)
{
	call_t *call = context;

	if (call->body.len + bytes.len <= call->client->max_response_bytes) {
		skh_buffer_append(&call->body, bytes);
		return;
	}
	log_too_large(call);
	finish_call(call, 0);
}

static void on_response_end(void *context, const skh_http_message_t *response)
{
	call_t *call = context;

	call->upstream = NULL;
	finish_call(call, (int32_t)response->parser.status_code);
}

static void on_upstream_error(void *context, skh_upstream_error_t error, bool request_written)
{
	call_t *call = context;

	(void)error;
	(void)request_written;
	call->upstream = NULL;
	finish_call(call, 0);
}

static const skh_upstream_ops_t call_ops = {
	.on_head = on_response_head,
	.on_body = on_response_body,
	.on_end = on_response_end,
	.on_error = on_upstream_error,
};

static void on_timeout(uv_timer_t *timer)
{
	finish_call(timer->data, 0);
}

static void start_call(skh_engine_client_t *client, skh_buffer_t *message, int64_t timeout_us,
		       bool use_new_connection, call_t *call)
{
	const skh_upstream_request_t request = { .bytes = skh_buffer_chunk(message),
						 .use_new_connection = use_new_connection };

	call->client = client;
	call->link.data = call;
	g_queue_push_tail_link(&client->calls, &call->link);
	(void)uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	(void)uv_timer_start(&call->timer, on_timeout, (uint64_t)(timeout_us / SKH_US_PER_MS), 0);
	call->upstream = skh_upstream_pool_send(client->pool, &request, &call_ops, call);
	skh_buffer_free(message);
}

skh_engine_client_t *skh_engine_client_new(uv_loop_t *loop, const char *address,
					   const skh_upstream_pool_options_t *options)
{
	skh_engine_client_t *client = g_new0(skh_engine_client_t, 1);
	g_autofree char *host = NULL;
	uint16_t port = 0;

	client->loop = loop;
	client->address = g_strdup(address);
	client->max_response_bytes = BASE_RESPONSE_BYTES;
	/* With an invalid address, calls fail in the same way as for an unreachable engine. */
	if (!skh_address_split(address, &host, &port))
		skh_log(SKH_LOG_WARNING, PART,
			"Engine address is not host:port; calls to the engine will fail.",
			"address=%s", address);
	client->pool = skh_upstream_pool_new(loop, host ? host : "", port, options);
	g_queue_init(&client->calls);
	return client;
}

void skh_engine_client_free(skh_engine_client_t *client)
{
	GList *node;

	while ((node = client->calls.head) != NULL) {
		call_t *call = node->data;

		call->fn = NULL;
		finish_call(call, 0);
	}
	skh_upstream_pool_free(client->pool);
	g_free(client->address);
	g_free(client);
}

void skh_engine_client_expect(skh_engine_client_t *client, const skh_engine_spec_t *spec)
{
	/* A rank lists its experts in the map in use and in the one that it has prepared. */
	size_t n_numbers = (size_t)spec->expert_sets *
			   (spec->experts_per_set + 2 * (size_t)spec->slots_per_rank);

	client->max_response_bytes = BASE_RESPONSE_BYTES + n_numbers * NUMBER_BYTES;
}

const char *skh_engine_client_address(const skh_engine_client_t *client)
{
	return client->address;
}

static call_t *new_call(uint32_t tag, skh_engine_response_fn fn, void *context)
{
	call_t *call = g_new0(call_t, 1);

	call->tag = tag;
	call->fn = fn;
	call->context = context;
	return call;
}

void skh_engine_client_get(skh_engine_client_t *client, const char *path, int64_t timeout_us,
			   uint32_t tag, skh_engine_response_fn fn, void *context)
{
	skh_buffer_t message = SKH_BUFFER_INIT;

	skh_buffer_printf(&message, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, client->address);
	start_call(client, &message, timeout_us, false, new_call(tag, fn, context));
}

static void post(skh_engine_client_t *client, const char *path, skh_chunk_t body,
		 int64_t timeout_us, bool use_new_connection, call_t *call)
{
	skh_buffer_t message = SKH_BUFFER_INIT;

	skh_buffer_printf(&message,
			  "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  path, client->address, body.len);
	skh_buffer_append(&message, body);
	start_call(client, &message, timeout_us, use_new_connection, call);
}

void skh_engine_client_order(skh_engine_client_t *client, const char *path, skh_chunk_t body,
			     int64_t timeout_us, uint32_t tag, skh_engine_response_fn fn,
			     void *context)
{
	post(client, path, body, timeout_us, true, new_call(tag, fn, context));
}

void skh_engine_client_post(skh_engine_client_t *client, const char *path, skh_chunk_t body,
			    int64_t timeout_us, uint32_t tag, skh_engine_response_fn fn,
			    void *context)
{
	post(client, path, body, timeout_us, false, new_call(tag, fn, context));
}
