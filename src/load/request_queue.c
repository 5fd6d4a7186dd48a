#include "request_queue.h"

#include "fair_order.h"

/*
 * Customers whose tags differ by less than this are served by their objectives. With smaller steps
 * requests that were accepted as on time are overtaken by later ones of other customers.
 */
#define FAIR_TAG_STEP 4.0

struct skh_request_queue {
	GPtrArray *requests;
	skh_fair_order_t *order;
	int64_t delay_us; /* of the first event, see skh_request_queue_set_delay() */
};

skh_request_queue_t *skh_request_queue_new(void)
{
	skh_request_queue_t *queue = g_new0(skh_request_queue_t, 1);

	queue->requests = g_ptr_array_new();
	queue->order = skh_fair_order_new();
	return queue;
}

void skh_request_queue_free(skh_request_queue_t *queue)
{
	(void)g_ptr_array_free(queue->requests, TRUE);
	skh_fair_order_free(queue->order);
	g_free(queue);
}

void skh_request_queue_enqueue(skh_request_queue_t *queue, skh_queued_request_t *request)
{
	request->index = (int32_t)queue->requests->len;
	request->fair_tag =
		skh_fair_order_enqueue(queue->order, request->priority, request->customer);
	g_ptr_array_add(queue->requests, request);
}

static void take_out(skh_request_queue_t *queue, skh_queued_request_t *request)
{
	(void)g_ptr_array_remove_index_fast(queue->requests, (guint)request->index);
	if ((guint)request->index < queue->requests->len) {
		skh_queued_request_t *moved = g_ptr_array_index(queue->requests, request->index);

		moved->index = request->index;
	}
	request->index = -1;
}

void skh_request_queue_remove(skh_request_queue_t *queue, skh_queued_request_t *request)
{
	if (request->index < 0)
		return;
	take_out(queue, request);
	skh_fair_order_cancel(queue->order, request->priority, request->customer);
}

/* Returns the least urgent priority that waits; @most_urgent is set to the most urgent one. */
static uint32_t find_least_urgent(const skh_request_queue_t *queue, uint32_t *most_urgent)
{
	uint32_t least_urgent = 0;

	*most_urgent = UINT32_MAX;
	for (guint i = 0; i < queue->requests->len; i++) {
		const skh_queued_request_t *request = g_ptr_array_index(queue->requests, i);

		least_urgent = MAX(least_urgent, request->priority);
		*most_urgent = MIN(*most_urgent, request->priority);
	}
	return least_urgent;
}

bool skh_request_queue_start(skh_request_queue_t *queue, skh_queued_request_t *request)
{
	uint32_t most_urgent;
	uint32_t least_urgent = find_least_urgent(queue, &most_urgent);
	bool is_by_floor =
		skh_fair_order_is_floor_due(queue->order) && request->priority == least_urgent;

	if (request->index < 0)
		return false;
	take_out(queue, request);
	skh_fair_order_start(queue->order, request->priority, request->customer, request->fair_tag,
			     least_urgent, least_urgent == most_urgent);
	return is_by_floor;
}

uint32_t skh_request_queue_length(const skh_request_queue_t *queue)
{
	return queue->requests->len;
}

void skh_request_queue_set_delay(skh_request_queue_t *queue, int64_t delay_us)
{
	queue->delay_us = delay_us;
}

bool skh_request_queue_is_late(const skh_request_queue_t *queue,
			       const skh_queued_request_t *request, int64_t now_us)
{
	return !request->is_resumed && now_us + queue->delay_us > request->dispatch_objective_us;
}

uint32_t skh_request_queue_rank(const skh_request_queue_t *queue,
				const skh_queued_request_t *request, int64_t now_us)
{
	return skh_fair_order_rank(request->priority,
				   skh_request_queue_is_late(queue, request, now_us));
}

bool skh_request_queue_is_expired(const skh_request_queue_t *queue,
				  const skh_queued_request_t *request, int64_t now_us)
{
	return now_us + queue->delay_us >= request->expires_us;
}

static bool is_served_before(const skh_request_queue_t *queue, const skh_queued_request_t *a,
			     const skh_queued_request_t *b, int64_t now_us)
{
	bool a_is_late = skh_request_queue_is_late(queue, a, now_us);
	uint32_t a_rank = skh_request_queue_rank(queue, a, now_us);
	uint32_t b_rank = skh_request_queue_rank(queue, b, now_us);
	int64_t a_turn = (int64_t)(a->fair_tag / FAIR_TAG_STEP);
	int64_t b_turn = (int64_t)(b->fair_tag / FAIR_TAG_STEP);

	if (a_rank != b_rank)
		return a_rank < b_rank;
	if (a->is_resumed != b->is_resumed)
		return a->is_resumed;
	if (a->has_returned != b->has_returned)
		return a->has_returned;
	if (a_turn != b_turn)
		return a_turn < b_turn;
	return a_is_late ? a->expires_us < b->expires_us
			 : a->dispatch_objective_us < b->dispatch_objective_us;
}

/* Context of compare_requests() */
typedef struct sort_context {
	const skh_request_queue_t *queue;
	int64_t now_us;
} sort_context_t;

static gint compare_requests(gconstpointer left, gconstpointer right, gpointer data)
{
	const skh_queued_request_t *const *a = left;
	const skh_queued_request_t *const *b = right;
	const sort_context_t *context = data;

	if (is_served_before(context->queue, *a, *b, context->now_us))
		return -1;
	return is_served_before(context->queue, *b, *a, context->now_us);
}

GPtrArray *skh_request_queue_sort(const skh_request_queue_t *queue, int64_t now_us)
{
	sort_context_t context = { queue, now_us };
	GPtrArray *sorted = g_ptr_array_sized_new(queue->requests->len);

	for (guint i = 0; i < queue->requests->len; i++)
		g_ptr_array_add(sorted, g_ptr_array_index(queue->requests, i));
	g_ptr_array_sort_with_data(sorted, compare_requests, &context);
	return sorted;
}

static skh_queued_request_t *find_first(const skh_request_queue_t *queue,
					bool include_rejected_probes, uint32_t min_priority,
					int64_t now_us)
{
	skh_queued_request_t *first = NULL;

	for (guint i = 0; i < queue->requests->len; i++) {
		skh_queued_request_t *request = g_ptr_array_index(queue->requests, i);

		if (request->priority < min_priority ||
		    (request->was_rejected_as_probe && !include_rejected_probes))
			continue;
		if (!first || is_served_before(queue, request, first, now_us))
			first = request;
	}
	return first;
}

skh_queued_request_t *skh_request_queue_peek(const skh_request_queue_t *queue, int64_t now_us)
{
	uint32_t most_urgent;
	uint32_t min_priority = skh_fair_order_is_floor_due(queue->order)
					? find_least_urgent(queue, &most_urgent)
					: 0;

	return find_first(queue, true, min_priority, now_us);
}

skh_queued_request_t *skh_request_queue_peek_probe(const skh_request_queue_t *queue, int64_t now_us)
{
	skh_queued_request_t *first = find_first(queue, false, 0, now_us);

	return first ? first : find_first(queue, true, 0, now_us);
}

skh_queued_request_t *skh_request_queue_find_expired(const skh_request_queue_t *queue,
						     int64_t now_us)
{
	for (guint i = 0; i < queue->requests->len; i++) {
		skh_queued_request_t *request = g_ptr_array_index(queue->requests, i);

		if (skh_request_queue_is_expired(queue, request, now_us))
			return request;
	}
	return NULL;
}

static uint32_t count_ahead(const skh_request_queue_t *queue, const skh_queued_request_t *request,
			    bool only_equal, int64_t now_us)
{
	uint32_t ahead = 0;

	for (guint i = 0; i < queue->requests->len; i++) {
		const skh_queued_request_t *other = g_ptr_array_index(queue->requests, i);

		if (other != request && (!only_equal || other->priority == request->priority) &&
		    !is_served_before(queue, request, other, now_us))
			ahead++;
	}
	return ahead;
}

uint32_t skh_request_queue_count_ahead(const skh_request_queue_t *queue,
				       const skh_queued_request_t *request, int64_t now_us)
{
	return count_ahead(queue, request, false, now_us);
}

uint32_t skh_request_queue_count_equal(const skh_request_queue_t *queue,
				       const skh_queued_request_t *request, int64_t now_us)
{
	return count_ahead(queue, request, true, now_us);
}

uint32_t skh_request_queue_least_urgent(const skh_request_queue_t *queue)
{
	uint32_t most_urgent;

	return find_least_urgent(queue, &most_urgent);
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
