/*
 * Both sides of HTTP, streams of events and packed orders. The first byte tells
 * which, and where the bytes are cut in two: any cut must give the same.
 */
#include "event_stream.h"
#include "http_message.h"
#include "rankrelay.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool read_message(enum http_parser_type type, skh_chunk_t bytes, size_t cut,
			 skh_buffer_t *body)
{
	static const skh_http_message_ops_t ops = { NULL, NULL, NULL };
	skh_http_message_t message = { .max_header_bytes = 1024, .max_body_bytes = 2048 };
	skh_error_t err;
	size_t used = 0;
	bool valid;

	skh_http_message_reset(&message, type, &ops, NULL);
	valid = skh_http_message_feed(&message, skh_chunk_make(bytes.data, cut), &used, &err);
	if (valid && !message.done)
		valid = skh_http_message_feed(
			&message, skh_chunk_make(bytes.data + cut, bytes.len - cut), &used, &err);
	if (valid && !message.done)
		(void)skh_http_message_feed_eof(&message);
	if (valid && message.done)
		skh_buffer_append(body, skh_buffer_chunk(&message.body));
	valid = valid && message.done;
	skh_http_message_free(&message);
	return valid;
}

static void check_cut(enum http_parser_type type, skh_chunk_t bytes, size_t cut)
{
	skh_buffer_t whole = SKH_BUFFER_INIT;
	skh_buffer_t parts = SKH_BUFFER_INIT;
	bool valid = read_message(type, bytes, bytes.len, &whole);

	if (read_message(type, bytes, cut, &parts) != valid || whole.len != parts.len)
		abort();
	skh_buffer_free(&whole);
	skh_buffer_free(&parts);
}

static void check_events(skh_chunk_t bytes, size_t cut)
{
	skh_event_stream_t events;
	skh_buffer_t out = SKH_BUFFER_INIT;

	skh_event_stream_init(&events);
	if (skh_event_stream_feed(&events, skh_chunk_make(bytes.data, cut), &out))
		(void)skh_event_stream_feed(
			&events, skh_chunk_make(bytes.data + cut, bytes.len - cut), &out);
	skh_buffer_free(&out);
	skh_event_stream_clear(&events);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	skh_chunk_t bytes;
	size_t cut;

	if (size < 2)
		return 0;
	bytes = skh_chunk_make(data + 1, size - 1);
	cut = data[0] / 4 % (bytes.len + 1);
	if (data[0] % 4 == 0) {
		check_cut(HTTP_REQUEST, bytes, cut);
	} else if (data[0] % 4 == 1) {
		check_cut(HTTP_RESPONSE, bytes, cut);
	} else if (data[0] % 4 == 2) {
		check_events(bytes, cut);
	} else {
		skh_map_cache_t known = { 0 };
		skh_engine_order_t order;
		char *engine;

		(void)skh_rankrelay_unpack(bytes, &known, &order, &engine);
		g_free(engine);
		skh_map_cache_clear(&known);
	}
	return 0;
}
