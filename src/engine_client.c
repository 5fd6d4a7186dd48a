#include "engine_client.h"

#include "address.h"
#include "clock.h"
#include "log.h"

#include <string.h>

#define PART "engine"

struct skh_engine_client {
	uv_loop_t *loop;
	char *address;
	skh_upstream_pool_t *pool;
	GQueue calls;
};

typedef struct call {
	skh_engine_client_t *client;
	GList link;
	uv_timer_t timer;
	skh_upstream_t *upstream;
	skh_buffer_t body;
	uint32_t tag;
	skh_engine_answer_fn fn; /* NULL when nobody is to be told */
	void *context;
} call_t;

static void on_closed(uv_handle_t *handle)
{
	call_t *call = handle->data;

	skh_buffer_free(&call->body);
	g_free(call);
}

static void end_call(call_t *call, int32_t status)
{
	skh_engine_answer_fn fn = call->fn;

	if (call->upstream)
		skh_upstream_cancel(call->upstream);
	call->upstream = NULL;
	call->fn = NULL;
	g_queue_unlink(&call->client->calls, &call->link);
	uv_close((uv_handle_t *)&call->timer, on_closed);
	if (fn)
		fn(call->context, call->tag, status, skh_buffer_chunk(&call->body));
}

static bool on_head(void *context, const skh_http_message_t *answer)
{
	(void)context;
	(void)answer;
	return true;
}

static void on_body(void *context, skh_chunk_t bytes)
{
	skh_buffer_append(&((call_t *)context)->body, bytes);
}

static void on_end(void *context, const skh_http_message_t *answer)
{
	call_t *call = context;

	call->upstream = NULL;
	end_call(call, (int32_t)answer->parser.status_code);
}

static void on_lost(void *context, skh_upstream_error_t lost, bool handed_over)
{
	call_t *call = context;

	(void)lost;
	(void)handed_over;
	call->upstream = NULL;
	end_call(call, 0);
}

static const skh_upstream_ops_t call_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_error = on_lost,
};

static void on_timeout(uv_timer_t *timer)
{
	end_call(timer->data, 0);
}

static void begin_call(skh_engine_client_t *client, skh_buffer_t *bytes, int64_t timeout_us,
		       call_t *call)
{
	const skh_upstream_request_t send = { .bytes = skh_buffer_chunk(bytes) };

	call->client = client;
	call->link.data = call;
	g_queue_push_tail_link(&client->calls, &call->link);
	(void)uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	(void)uv_timer_start(&call->timer, on_timeout, (uint64_t)(timeout_us / SKH_US_PER_MS), 0);
	call->upstream = skh_upstream_pool_send(client->pool, &send, &call_ops, call);
	skh_buffer_free(bytes);
}

skh_engine_client_t *skh_engine_client_new(uv_loop_t *loop, const char *address,
					   const skh_upstream_pool_options_t *options)
{
	skh_engine_client_t *client = g_new0(skh_engine_client_t, 1);
	g_autofree char *host = NULL;
	uint16_t port = 0;

	client->loop = loop;
	client->address = g_strdup(address);
	/* Calls to an address that can't be read fail as those to nobody do. */
	if (!skh_address_split(address, &host, &port))
		skh_log(SKH_LOG_WARNING, PART, "Engine's address not read.", "address=%s", address);
	client->pool = skh_upstream_pool_new(loop, host ? host : "", port, options);
	g_queue_init(&client->calls);
	return client;
}

void skh_engine_client_free(skh_engine_client_t *client)
{
	GList *item;

	while ((item = client->calls.head) != NULL) {
		call_t *call = item->data;

		call->fn = NULL;
		end_call(call, 0);
	}
	skh_upstream_pool_free(client->pool);
	g_free(client->address);
	g_free(client);
}

const char *skh_engine_client_address(const skh_engine_client_t *client)
{
	return client->address;
}

void skh_engine_client_get(skh_engine_client_t *client, const char *path, int64_t timeout_us,
			   uint32_t tag, skh_engine_answer_fn fn, void *context)
{
	call_t *call = g_new0(call_t, 1);
	skh_buffer_t bytes = SKH_BUFFER_INIT;

	call->tag = tag;
	call->fn = fn;
	call->context = context;
	skh_buffer_printf(&bytes, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, client->address);
	begin_call(client, &bytes, timeout_us, call);
}

void skh_engine_client_post(skh_engine_client_t *client, const char *path, skh_chunk_t body,
			    int64_t timeout_us, uint32_t tag, skh_engine_answer_fn fn,
			    void *context)
{
	call_t *call = g_new0(call_t, 1);
	skh_buffer_t bytes = SKH_BUFFER_INIT;

	call->tag = tag;
	call->fn = fn;
	call->context = context;
	skh_buffer_printf(&bytes,
			  "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  path, client->address, body.len);
	skh_buffer_append(&bytes, body);
	begin_call(client, &bytes, timeout_us, call);
}
