#include "request_queue.h"

struct skh_request_queue {
	GPtrArray *requests;
};

skh_request_queue_t *skh_request_queue_new(void)
{
	skh_request_queue_t *queue = g_new0(skh_request_queue_t, 1);

	queue->requests = g_ptr_array_new();
	return queue;
}

void skh_request_queue_free(skh_request_queue_t *queue)
{
	(void)g_ptr_array_free(queue->requests, TRUE);
	g_free(queue);
}

void skh_request_queue_enqueue(skh_request_queue_t *queue, skh_queued_request_t *request)
{
	request->index = (int32_t)queue->requests->len;
	g_ptr_array_add(queue->requests, request);
}

void skh_request_queue_remove(skh_request_queue_t *queue, skh_queued_request_t *request)
{
	if (request->index < 0)
		return;
	(void)g_ptr_array_remove_index_fast(queue->requests, (guint)request->index);
	if ((guint)request->index < queue->requests->len) {
		skh_queued_request_t *moved = g_ptr_array_index(queue->requests, request->index);

		moved->index = request->index;
	}
	request->index = -1;
}

uint32_t skh_request_queue_length(const skh_request_queue_t *queue)
{
	return queue->requests->len;
}

static bool can_meet_objective(const skh_queued_request_t *request, int64_t now_us)
{
	return now_us <= request->dispatch_objective_us;
}

static bool is_served_before(const skh_queued_request_t *a, const skh_queued_request_t *b,
			     int64_t now_us)
{
	bool a_can_meet = can_meet_objective(a, now_us);

	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_can_meet != can_meet_objective(b, now_us))
		return a_can_meet;
	if (a_can_meet)
		return a->dispatch_objective_us < b->dispatch_objective_us;
	return a->expires_us < b->expires_us;
}

static skh_queued_request_t *find_first(const skh_request_queue_t *queue,
					bool include_rejected_probes, int64_t now_us)
{
	skh_queued_request_t *first = NULL;

	for (guint i = 0; i < queue->requests->len; i++) {
		skh_queued_request_t *request = g_ptr_array_index(queue->requests, i);

		if (request->was_rejected_as_probe && !include_rejected_probes)
			continue;
		if (!first || is_served_before(request, first, now_us))
			first = request;
	}
	return first;
}

skh_queued_request_t *skh_request_queue_peek(const skh_request_queue_t *queue, int64_t now_us)
{
	return find_first(queue, true, now_us);
}

skh_queued_request_t *skh_request_queue_peek_probe(const skh_request_queue_t *queue, int64_t now_us)
{
	skh_queued_request_t *first = find_first(queue, false, now_us);

	return first ? first : find_first(queue, true, now_us);
}

skh_queued_request_t *skh_request_queue_find_expired(const skh_request_queue_t *queue,
						     int64_t now_us)
{
	for (guint i = 0; i < queue->requests->len; i++) {
		skh_queued_request_t *request = g_ptr_array_index(queue->requests, i);

		if (now_us >= request->expires_us)
			return request;
	}
	return NULL;
}

uint32_t skh_request_queue_count_ahead(const skh_request_queue_t *queue,
				       const skh_queued_request_t *request, int64_t now_us)
{
	uint32_t ahead = 0;

	for (guint i = 0; i < queue->requests->len; i++) {
		if (!is_served_before(request, g_ptr_array_index(queue->requests, i), now_us))
			ahead++;
	}
	return ahead;
}

void skh_request_queue_count_priorities(const skh_request_queue_t *queue, uint32_t *counts,
					uint32_t n_priorities)
{
	for (uint32_t i = 0; i < n_priorities; i++)
		counts[i] = 0;
	for (guint i = 0; i < queue->requests->len; i++) {
		const skh_queued_request_t *request = g_ptr_array_index(queue->requests, i);

		counts[MIN(request->priority, n_priorities - 1)]++;
	}
}
