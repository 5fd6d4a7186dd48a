#include "event_stream.h"

#include <glib.h>
#include <string.h>

/* Greatest id; a greater one is not valid. */
#define MAX_EVENT_ID	    ((int64_t)1 << 53)
#define MAX_EVENT_ID_DIGITS 16
/* Line end and blank line, as in "\n\r\n" */
#define MAX_BLANK_LINE_BYTES 3

/* What the lines of one event say. */
typedef struct event_fields {
	int64_t id; /* -1 without exactly one valid id */
	bool has_data;
} event_fields_t;

void skh_event_stream_init(skh_event_stream_t *events)
{
	*events = (skh_event_stream_t){
		.last_event_id = -1,
		.first_event_id = -1,
		.expected_first_id = -1,
		.repeated_id = -1,
	};
}

void skh_event_stream_expect_first(skh_event_stream_t *events, int64_t id)
{
	events->expected_first_id = id;
}

int64_t skh_event_stream_learned_first(const skh_event_stream_t *events)
{
	bool is_learned = events->n_events == 2 && events->is_position_certain &&
			  events->last_event_id == events->first_event_id + 1;

	return is_learned ? events->first_event_id : -1;
}

void skh_event_stream_clear(skh_event_stream_t *events)
{
	skh_buffer_free(&events->pending);
	events->searched_bytes = 0;
}

void skh_event_stream_resume(skh_event_stream_t *events)
{
	skh_buffer_clear(&events->pending);
	events->searched_bytes = 0;
	events->is_resuming = events->n_events > 0;
	events->repeated_id = -1;
	events->accepts_next = false;
}

bool skh_event_stream_can_resume(const skh_event_stream_t *events)
{
	return events->n_events == 0 || events->is_position_certain;
}

void skh_event_stream_accept_next(skh_event_stream_t *events)
{
	events->accepts_next = true;
}

bool skh_event_stream_is_complete(const skh_event_stream_t *events)
{
	bool has_repeated_a_part = events->is_resuming && events->repeated_id >= 0 &&
				   events->repeated_id != events->last_event_id;

	return events->pending.len == 0 && !has_repeated_a_part;
}

/* Returns the number in @text, the value of an "id:" line, or -1 if it is no whole number. */
static int64_t parse_id(const char *text, size_t len)
{
	int64_t id = 0;

	while (len > 0 && *text == ' ') {
		text++;
		len--;
	}
	if (len > 0 && text[len - 1] == '\r')
		len--;
	if (len == 0 || len > MAX_EVENT_ID_DIGITS)
		return -1;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isdigit(text[i]))
			return -1;
		id = id * 10 + (text[i] - '0');
	}
	return id <= MAX_EVENT_ID ? id : -1;
}

static bool has_prefix(const char *line, size_t len, const char *prefix)
{
	return len >= strlen(prefix) && memcmp(line, prefix, strlen(prefix)) == 0;
}

static event_fields_t parse_event(const char *event, size_t len)
{
	event_fields_t fields = { .id = -1 };
	const char *end = event + len;
	uint32_t n_ids = 0;

	for (const char *line = event; line < end;) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));
		size_t line_len = (size_t)((newline ? newline : end) - line);

		if (has_prefix(line, line_len, "id:")) {
			fields.id = parse_id(line + strlen("id:"), line_len - strlen("id:"));
			n_ids++;
		}
		fields.has_data = fields.has_data || has_prefix(line, line_len, "data:");
		line += line_len + 1;
	}
	if (n_ids != 1)
		fields.id = -1;
	return fields;
}

/*
 * Returns the length of the first event including its final blank line; 0 when incomplete.
 * @from: where to begin the search
 */
static size_t find_event_length(const char *text, size_t len, size_t from)
{
	for (size_t i = from; i + 1 < len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i + 1] == '\n')
			return i + 2;
		if (i + 2 < len && text[i + 1] == '\r' && text[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

typedef enum event_action {
	EVENT_EMIT,
	EVENT_DROP,   /* it was emitted before */
	EVENT_REJECT, /* it does not follow the last one */
} event_action_t;

/* Another server goes on: its events are the ones after the last, or all of them once more. */
static event_action_t judge_after_resume(skh_event_stream_t *events, int64_t id)
{
	int64_t next_id = events->last_event_id + 1;
	int64_t next_repeated_id =
		events->repeated_id >= 0 ? events->repeated_id + 1 : events->first_event_id;

	if (id == next_id && (events->repeated_id < 0 || next_repeated_id == next_id))
		return EVENT_EMIT;
	if (id != next_repeated_id || id >= next_id)
		return EVENT_REJECT;
	events->repeated_id = id;
	return EVENT_DROP;
}

static event_action_t judge_event(skh_event_stream_t *events, const event_fields_t *fields)
{
	bool is_repeating = events->is_resuming && events->repeated_id >= 0;
	bool is_first_id = events->last_event_id < 0;

	if (fields->id < 0)
		return fields->has_data && is_repeating ? EVENT_DROP : EVENT_EMIT;
	if (events->is_resuming)
		return judge_after_resume(events, fields->id);
	if (is_first_id || events->accepts_next || fields->id == events->last_event_id + 1)
		return EVENT_EMIT;
	return EVENT_REJECT;
}

static void record_emitted(skh_event_stream_t *events, const event_fields_t *fields)
{
	bool is_first = events->n_events == 0;

	if (fields->id < 0 && !fields->has_data)
		return;
	events->n_events++;
	events->is_resuming = false;
	events->accepts_next = false;
	events->is_position_certain =
		fields->id >= 0 &&
		fields->id == (is_first ? events->expected_first_id : events->last_event_id + 1);
	if (fields->id < 0)
		return;
	if (events->first_event_id < 0)
		events->first_event_id = fields->id;
	events->last_event_id = fields->id;
}

skh_event_stream_status_t skh_event_stream_feed(skh_event_stream_t *events, skh_chunk_t bytes,
						skh_buffer_t *out)
{
	size_t consumed = 0;
	bool is_in_order = true;

	skh_buffer_append(&events->pending, bytes);
	while (consumed < events->pending.len) {
		const char *text = (const char *)events->pending.data + consumed;
		size_t len = find_event_length(text, events->pending.len - consumed,
					       consumed == 0 ? events->searched_bytes : 0);
		event_fields_t fields;
		event_action_t action;

		if (len == 0)
			break;
		fields = parse_event(text, len);
		action = judge_event(events, &fields);
		is_in_order = action != EVENT_REJECT;
		if (!is_in_order)
			break;
		if (action == EVENT_EMIT) {
			skh_buffer_append(out, skh_chunk_make(text, len));
			record_emitted(events, &fields);
		}
		consumed += len;
	}
	if (consumed > 0)
		skh_buffer_consume(&events->pending, consumed);
	events->searched_bytes = 0;
	if (!is_in_order)
		return SKH_EVENT_STREAM_OUT_OF_ORDER;
	/* The final blank line may have begun in the last bytes. */
	if (events->pending.len > MAX_BLANK_LINE_BYTES)
		events->searched_bytes = events->pending.len - MAX_BLANK_LINE_BYTES;
	return events->pending.len <= SKH_EVENT_STREAM_MAX_EVENT_BYTES ? SKH_EVENT_STREAM_OK
								       : SKH_EVENT_STREAM_TOO_LARGE;
}
