#include "request_queue.h"

struct skh_request_queue {
	GPtrArray *waiters;
};

skh_request_queue_t *skh_request_queue_new(void)
{
	skh_request_queue_t *line = g_new0(skh_request_queue_t, 1);

	line->waiters = g_ptr_array_new();
	return line;
}

void skh_request_queue_free(skh_request_queue_t *line)
{
	(void)g_ptr_array_free(line->waiters, TRUE);
	g_free(line);
}

void skh_request_queue_enqueue(skh_request_queue_t *line, skh_queued_request_t *waiter)
{
	waiter->index = (int32_t)line->waiters->len;
	g_ptr_array_add(line->waiters, waiter);
}

void skh_request_queue_remove(skh_request_queue_t *line, skh_queued_request_t *waiter)
{
	if (waiter->index < 0)
		return;
	(void)g_ptr_array_remove_index_fast(line->waiters, (guint)waiter->index);
	if ((guint)waiter->index < line->waiters->len) {
		skh_queued_request_t *moved = g_ptr_array_index(line->waiters, waiter->index);

		moved->index = waiter->index;
	}
	waiter->index = -1;
}

uint32_t skh_request_queue_length(const skh_request_queue_t *line)
{
	return line->waiters->len;
}

static bool can_be_in_time(const skh_queued_request_t *waiter, int64_t now_us)
{
	return now_us <= waiter->dispatch_objective_us;
}

static bool goes_before(const skh_queued_request_t *a, const skh_queued_request_t *b,
			int64_t now_us)
{
	bool a_in_time = can_be_in_time(a, now_us);

	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_in_time != can_be_in_time(b, now_us))
		return a_in_time;
	if (a_in_time)
		return a->dispatch_objective_us < b->dispatch_objective_us;
	return a->expires_us < b->expires_us;
}

static skh_queued_request_t *first_of(const skh_request_queue_t *line, bool probed_too,
				      int64_t now_us)
{
	skh_queued_request_t *first = NULL;

	for (guint i = 0; i < line->waiters->len; i++) {
		skh_queued_request_t *waiter = g_ptr_array_index(line->waiters, i);

		if (waiter->is_probe_rejected && !probed_too)
			continue;
		if (!first || goes_before(waiter, first, now_us))
			first = waiter;
	}
	return first;
}

skh_queued_request_t *skh_request_queue_peek(const skh_request_queue_t *line, int64_t now_us)
{
	return first_of(line, true, now_us);
}

skh_queued_request_t *skh_request_queue_peek_probe(const skh_request_queue_t *line, int64_t now_us)
{
	skh_queued_request_t *first = first_of(line, false, now_us);

	return first ? first : first_of(line, true, now_us);
}

skh_queued_request_t *skh_request_queue_find_expired(const skh_request_queue_t *line,
						     int64_t now_us)
{
	for (guint i = 0; i < line->waiters->len; i++) {
		skh_queued_request_t *waiter = g_ptr_array_index(line->waiters, i);

		if (now_us >= waiter->expires_us)
			return waiter;
	}
	return NULL;
}

uint32_t skh_request_queue_count_ahead(const skh_request_queue_t *line,
				       const skh_queued_request_t *waiter, int64_t now_us)
{
	uint32_t ahead = 0;

	for (guint i = 0; i < line->waiters->len; i++) {
		if (!goes_before(waiter, g_ptr_array_index(line->waiters, i), now_us))
			ahead++;
	}
	return ahead;
}
