/*
 * HTTP requests and responses, event streams and packed engine orders. The first byte selects
 * the parser and the offset at which the rest is split in two. An HTTP message must have the
 * same validity and body length for every split.
 */
#include "event_stream.h"
#include "http_message.h"
#include "order_batch.h"
#include "rankrelay.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool read_message(enum http_parser_type type, skh_chunk_t bytes, size_t split_at,
			 skh_buffer_t *body)
{
	static const skh_http_message_ops_t ops = { NULL, NULL, NULL };
	skh_http_message_t message = { .max_header_bytes = 1024, .max_body_bytes = 2048 };
	skh_error_t err;
	size_t n_used = 0;
	bool is_valid;

	skh_http_message_reset(&message, type, &ops, NULL);
	is_valid = skh_http_message_feed(&message, skh_chunk_make(bytes.data, split_at), &n_used,
					 &err);
	if (is_valid && !message.is_complete)
		is_valid = skh_http_message_feed(
			&message, skh_chunk_make(bytes.data + split_at, bytes.len - split_at),
			&n_used, &err);
	if (is_valid && !message.is_complete)
		(void)skh_http_message_feed_eof(&message);
	if (is_valid && message.is_complete)
		skh_buffer_append(body, skh_buffer_chunk(&message.body));
	is_valid = is_valid && message.is_complete;
	skh_http_message_free(&message);
	return is_valid;
}

static void check_split(enum http_parser_type type, skh_chunk_t bytes, size_t split_at)
{
	skh_buffer_t complete_body = SKH_BUFFER_INIT;
	skh_buffer_t split_body = SKH_BUFFER_INIT;
	bool is_valid = read_message(type, bytes, bytes.len, &complete_body);

	if (read_message(type, bytes, split_at, &split_body) != is_valid ||
	    complete_body.len != split_body.len)
		abort();
	skh_buffer_free(&complete_body);
	skh_buffer_free(&split_body);
}

static void check_events(skh_chunk_t bytes, size_t split_at)
{
	skh_event_stream_t events;
	skh_buffer_t output = SKH_BUFFER_INIT;

	skh_event_stream_init(&events);
	if (skh_event_stream_feed(&events, skh_chunk_make(bytes.data, split_at), &output))
		(void)skh_event_stream_feed(
			&events, skh_chunk_make(bytes.data + split_at, bytes.len - split_at),
			&output);
	skh_buffer_free(&output);
	skh_event_stream_clear(&events);
}

static void check_order_batch(skh_chunk_t bytes)
{
	GBytes *order;
	char **relays;

	if (!skh_order_batch_unpack(bytes, &order, &relays))
		return;
	g_bytes_unref(order);
	g_strfreev(relays);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	skh_chunk_t bytes;
	size_t split_at;

	if (size < 2)
		return 0;
	bytes = skh_chunk_make(data + 1, size - 1);
	split_at = data[0] / 4 % (bytes.len + 1);
	if (data[0] % 4 == 0) {
		check_split(HTTP_REQUEST, bytes, split_at);
	} else if (data[0] % 4 == 1) {
		check_split(HTTP_RESPONSE, bytes, split_at);
	} else if (data[0] % 4 == 2) {
		check_events(bytes, split_at);
	} else {
		skh_map_cache_t map_cache = { 0 };
		skh_mapchange_order_t order;
		char *engine;

		(void)skh_rankrelay_unpack(bytes, &map_cache, "g0", &order, &engine);
		g_free(engine);
		skh_map_cache_clear(&map_cache);
		check_order_batch(bytes);
	}
	return 0;
}
