#include "inbox.h"

#include <glib.h>

struct skh_inbox {
	GMutex lock;
	GCond not_empty;
	GQueue events;
};

skh_inbox_t *skh_inbox_new(void)
{
	skh_inbox_t *inbox = g_new0(skh_inbox_t, 1);

	g_mutex_init(&inbox->lock);
	g_cond_init(&inbox->not_empty);
	g_queue_init(&inbox->events);
	return inbox;
}

static void free_event(gpointer event)
{
	skh_attempt_event_free(event);
}

void skh_inbox_free(skh_inbox_t *inbox)
{
	g_queue_clear_full(&inbox->events, free_event);
	g_cond_clear(&inbox->not_empty);
	g_mutex_clear(&inbox->lock);
	g_free(inbox);
}

void skh_inbox_push(skh_inbox_t *inbox, skh_attempt_event_t *event)
{
	g_mutex_lock(&inbox->lock);
	g_queue_push_tail(&inbox->events, event);
	g_cond_signal(&inbox->not_empty);
	g_mutex_unlock(&inbox->lock);
}

/* g_cond_wait_until() uses the monotonic clock, like @deadline_us. */
skh_attempt_event_t *skh_inbox_pop(skh_inbox_t *inbox, int64_t deadline_us)
{
	skh_attempt_event_t *event;

	g_mutex_lock(&inbox->lock);
	while (g_queue_is_empty(&inbox->events)) {
		if (!g_cond_wait_until(&inbox->not_empty, &inbox->lock, deadline_us))
			break;
	}
	event = g_queue_pop_head(&inbox->events);
	g_mutex_unlock(&inbox->lock);
	return event;
}

skh_attempt_event_t *skh_attempt_event_new(skh_attempt_event_type_t type, uint64_t attempt)
{
	skh_attempt_event_t *event = g_new0(skh_attempt_event_t, 1);

	event->type = type;
	event->attempt = attempt;
	return event;
}

void skh_attempt_event_free(skh_attempt_event_t *event)
{
	if (!event)
		return;
	if (event->frame)
		skh_wire_free(event->frame);
	g_free(event);
}
