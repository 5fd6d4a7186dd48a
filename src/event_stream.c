#include "event_stream.h"

#include <glib.h>
#include <string.h>

void skh_event_stream_init(skh_event_stream_t *events)
{
	*events = (skh_event_stream_t){ .last_event_id = -1 };
}

void skh_event_stream_clear(skh_event_stream_t *events)
{
	skh_buffer_free(&events->pending);
}

void skh_event_stream_discard_pending(skh_event_stream_t *events)
{
	skh_buffer_clear(&events->pending);
}

bool skh_event_stream_is_at_boundary(const skh_event_stream_t *events)
{
	return events->pending.len == 0;
}

/* The value of the line "id: N" in @event, or -1. */
static int64_t id_of(const char *event, size_t len)
{
	const char *line = event;
	const char *end = event + len;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));

		if ((size_t)(end - line) > 3 && strncmp(line, "id:", 3) == 0)
			return g_ascii_strtoll(line + 3, NULL, 10);
		if (!stop)
			break;
		line = stop + 1;
	}
	return -1;
}

/* Bytes up to and with the blank line that ends the first event; 0 when it is not whole. */
static size_t event_length(const char *text, size_t len)
{
	for (size_t i = 0; i + 1 < len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i + 1] == '\n')
			return i + 2;
		if (i + 2 < len && text[i + 1] == '\r' && text[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* Takes one whole event; false when one before it is missing. */
static bool take_event(skh_event_stream_t *events, const char *event, size_t len, skh_buffer_t *out)
{
	int64_t id = id_of(event, len);

	if (id >= 0 && events->last_event_id >= 0) {
		if (id <= events->last_event_id)
			return true;
		if (id != events->last_event_id + 1)
			return false;
	}
	if (id >= 0)
		events->last_event_id = id;
	events->has_event = true;
	skh_buffer_append(out, skh_chunk_make(event, len));
	return true;
}

bool skh_event_stream_feed(skh_event_stream_t *events, skh_chunk_t bytes, skh_buffer_t *out)
{
	size_t used = 0;
	bool follows = true;

	skh_buffer_append(&events->pending, bytes);
	while (follows && used < events->pending.len) {
		const char *text = (const char *)events->pending.data + used;
		size_t len = event_length(text, events->pending.len - used);

		if (len == 0)
			break;
		follows = take_event(events, text, len, out);
		used += len;
	}
	if (used > 0)
		skh_buffer_consume(&events->pending, used);
	return follows;
}
