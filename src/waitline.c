#include "waitline.h"

struct skh_waitline {
	GPtrArray *waiters;
};

skh_waitline_t *skh_waitline_new(void)
{
	skh_waitline_t *line = g_new0(skh_waitline_t, 1);

	line->waiters = g_ptr_array_new();
	return line;
}

void skh_waitline_free(skh_waitline_t *line)
{
	(void)g_ptr_array_free(line->waiters, TRUE);
	g_free(line);
}

void skh_waitline_add(skh_waitline_t *line, skh_waiter_t *waiter)
{
	waiter->index = (int32_t)line->waiters->len;
	g_ptr_array_add(line->waiters, waiter);
}

void skh_waitline_remove(skh_waitline_t *line, skh_waiter_t *waiter)
{
	if (waiter->index < 0)
		return;
	(void)g_ptr_array_remove_index_fast(line->waiters, (guint)waiter->index);
	if ((guint)waiter->index < line->waiters->len) {
		skh_waiter_t *moved = g_ptr_array_index(line->waiters, waiter->index);

		moved->index = waiter->index;
	}
	waiter->index = -1;
}

uint32_t skh_waitline_length(const skh_waitline_t *line)
{
	return line->waiters->len;
}

static bool can_be_in_time(const skh_waiter_t *waiter, int64_t now_us)
{
	return now_us <= waiter->goal_us;
}

static bool goes_before(const skh_waiter_t *a, const skh_waiter_t *b, int64_t now_us)
{
	bool a_in_time = can_be_in_time(a, now_us);

	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_in_time != can_be_in_time(b, now_us))
		return a_in_time;
	if (a_in_time)
		return a->goal_us < b->goal_us;
	return a->until_us < b->until_us;
}

static skh_waiter_t *first_of(const skh_waitline_t *line, bool probed_too, int64_t now_us)
{
	skh_waiter_t *first = NULL;

	for (guint i = 0; i < line->waiters->len; i++) {
		skh_waiter_t *waiter = g_ptr_array_index(line->waiters, i);

		if (waiter->probed && !probed_too)
			continue;
		if (!first || goes_before(waiter, first, now_us))
			first = waiter;
	}
	return first;
}

skh_waiter_t *skh_waitline_next(const skh_waitline_t *line, int64_t now_us)
{
	return first_of(line, true, now_us);
}

skh_waiter_t *skh_waitline_probe(const skh_waitline_t *line, int64_t now_us)
{
	skh_waiter_t *first = first_of(line, false, now_us);

	return first ? first : first_of(line, true, now_us);
}

skh_waiter_t *skh_waitline_hopeless(const skh_waitline_t *line, int64_t now_us)
{
	for (guint i = 0; i < line->waiters->len; i++) {
		skh_waiter_t *waiter = g_ptr_array_index(line->waiters, i);

		if (now_us >= waiter->until_us)
			return waiter;
	}
	return NULL;
}

uint32_t skh_waitline_ahead(const skh_waitline_t *line, const skh_waiter_t *waiter, int64_t now_us)
{
	uint32_t ahead = 0;

	for (guint i = 0; i < line->waiters->len; i++) {
		if (!goes_before(waiter, g_ptr_array_index(line->waiters, i), now_us))
			ahead++;
	}
	return ahead;
}
