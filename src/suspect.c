#include "suspect.h"

#include "clock.h"

#include <glib.h>

/* More backend servers than this lost within the window are the platform's fault. */
#define WINDOW_US	  (2 * SKH_US_PER_S)
#define CRASHES_IN_WINDOW 3
#define MAX_REQUESTS	  65536

typedef struct crash {
	uint64_t id;
	int64_t until_us;
	bool shared; /* seen in the shared records */
	bool named;  /* by the load that is under way */
} crash_t;

typedef struct record {
	uint64_t request;
	crash_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES];
	size_t n;
} record_t;

typedef struct recent {
	uint64_t crash;
	int64_t at_us;
} recent_t;

struct skh_suspects {
	GHashTable *records; /* request -> record_t */
	GQueue recent;	     /* recent_t, oldest first: distinct crashes of the window */
};

skh_suspects_t *skh_suspects_new(void)
{
	skh_suspects_t *suspects = g_new0(skh_suspects_t, 1);

	suspects->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&suspects->recent);
	return suspects;
}

void skh_suspects_free(skh_suspects_t *suspects)
{
	g_queue_clear_full(&suspects->recent, g_free);
	g_hash_table_unref(suspects->records);
	g_free(suspects);
}

static size_t count_valid(const record_t *record, int64_t now_us)
{
	size_t n = 0;

	for (size_t i = 0; i < record->n; i++)
		n += record->crashes[i].until_us > now_us;
	return n;
}

static skh_suspect_state_t standing_of(const record_t *record, int64_t now_us)
{
	size_t n = count_valid(record, now_us);

	if (n == 0)
		return SKH_SUSPECT_STATE_CLEAR;
	return n < SKH_SUSPECT_QUARANTINE_CRASHES ? SKH_SUSPECT_STATE_SUSPECT
						  : SKH_SUSPECT_STATE_QUARANTINED;
}

skh_suspect_state_t skh_suspects_get_state(const skh_suspects_t *suspects, uint64_t request,
					   int64_t now_us)
{
	const record_t *record = g_hash_table_lookup(suspects->records, &request);

	return record ? standing_of(record, now_us) : SKH_SUSPECT_STATE_CLEAR;
}

static void forget_old_crashes(skh_suspects_t *suspects, int64_t now_us)
{
	recent_t *oldest;

	while ((oldest = g_queue_peek_head(&suspects->recent)) != NULL &&
	       oldest->at_us + WINDOW_US <= now_us)
		g_free(g_queue_pop_head(&suspects->recent));
}

static bool is_recent(const skh_suspects_t *suspects, uint64_t crash)
{
	for (const GList *item = suspects->recent.head; item; item = item->next) {
		if (((const recent_t *)item->data)->crash == crash)
			return true;
	}
	return false;
}

static bool is_platform_fault(skh_suspects_t *suspects, uint64_t crash, int64_t now_us)
{
	recent_t *recent;

	forget_old_crashes(suspects, now_us);
	if (!is_recent(suspects, crash)) {
		recent = g_new0(recent_t, 1);
		recent->crash = crash;
		recent->at_us = now_us;
		g_queue_push_tail(&suspects->recent, recent);
	}
	return g_queue_get_length(&suspects->recent) > CRASHES_IN_WINDOW;
}

static gboolean is_over(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return count_valid(value, *(const int64_t *)now_us) == 0;
}

static record_t *record_of(skh_suspects_t *suspects, uint64_t request, int64_t now_us)
{
	record_t *record = g_hash_table_lookup(suspects->records, &request);

	if (record)
		return record;
	if (g_hash_table_size(suspects->records) >= MAX_REQUESTS)
		g_hash_table_foreach_remove(suspects->records, is_over, &now_us);
	if (g_hash_table_size(suspects->records) >= MAX_REQUESTS)
		return NULL;
	record = g_new0(record_t, 1);
	record->request = request;
	g_hash_table_insert(suspects->records, &record->request, record);
	return record;
}

static void remove_crash(record_t *record, size_t index)
{
	record->crashes[index] = record->crashes[--record->n];
}

/* Returns the crash as held against @request, or NULL when there is no room for it. */
static crash_t *hold(skh_suspects_t *suspects, uint64_t request, uint64_t crash, int64_t now_us,
		     bool *is_new)
{
	record_t *record = record_of(suspects, request, now_us);
	crash_t *held;

	*is_new = false;
	if (!record)
		return NULL;
	for (size_t i = record->n; i-- > 0;) {
		if (record->crashes[i].id == crash)
			return &record->crashes[i];
		if (record->crashes[i].until_us <= now_us)
			remove_crash(record, i);
	}
	if (record->n == SKH_SUSPECT_QUARANTINE_CRASHES)
		return NULL;
	held = &record->crashes[record->n++];
	*held = (crash_t){ crash, now_us + SKH_SUSPECT_EXPIRY_S * SKH_US_PER_S, false, false };
	*is_new = true;
	return held;
}

bool skh_suspects_record_crash(skh_suspects_t *suspects, uint64_t request, uint64_t crash,
			       int64_t now_us)
{
	bool is_new;

	if (is_platform_fault(suspects, crash, now_us))
		return false;
	(void)hold(suspects, request, crash, now_us, &is_new);
	return is_new;
}

size_t skh_suspects_clear(skh_suspects_t *suspects, uint64_t request,
			  uint64_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES])
{
	const record_t *record = g_hash_table_lookup(suspects->records, &request);
	size_t n = record ? record->n : 0;

	for (size_t i = 0; i < n; i++)
		crashes[i] = record->crashes[i].id;
	g_hash_table_remove(suspects->records, &request);
	return n;
}

void skh_suspects_begin_snapshot(skh_suspects_t *suspects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		for (size_t i = 0; i < record->n; i++)
			record->crashes[i].named = false;
	}
}

void skh_suspects_add_snapshot_crash(skh_suspects_t *suspects, uint64_t request, uint64_t crash,
				     int64_t now_us)
{
	bool is_new;
	crash_t *held = hold(suspects, request, crash, now_us, &is_new);

	if (!held)
		return;
	held->shared = true;
	held->named = true;
}

void skh_suspects_end_snapshot(skh_suspects_t *suspects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		for (size_t i = record->n; i-- > 0;) {
			if (record->crashes[i].shared && !record->crashes[i].named)
				remove_crash(record, i);
		}
		if (record->n == 0)
			g_hash_table_iter_remove(&iter);
	}
}

void skh_suspects_for_each(const skh_suspects_t *suspects, int64_t now_us, skh_suspect_fn fn,
			   void *context)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;
		skh_suspect_state_t standing = standing_of(record, now_us);

		if (standing != SKH_SUSPECT_STATE_CLEAR)
			fn(context, record->request, standing);
	}
}
