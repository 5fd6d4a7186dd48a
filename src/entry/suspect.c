#include "suspect.h"

#include "clock.h"

#include <glib.h>

/* More distinct crashes within CRASH_WINDOW_US are attributed to the platform, not to requests. */
#define MAX_CRASHES_IN_WINDOW 3
#define CRASH_WINDOW_US	      (2 * SKH_US_PER_S)
#define MAX_RECORDS	      65536

typedef struct crash {
	uint64_t id;
	int64_t expires_us;
	bool is_shared;	  /* has been in a snapshot of the shared records */
	bool in_snapshot; /* is in the snapshot that is being read */
} crash_t;

typedef struct record {
	uint64_t content_hash;
	crash_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES];
	size_t n_crashes;
} record_t;

typedef struct recent_crash {
	uint64_t id;
	int64_t detected_us;
} recent_crash_t;

struct skh_suspects {
	GHashTable *records; /* content hash -> record_t */
	GQueue recent;	     /* recent_crash_t, oldest first: distinct crashes in the window */
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

static size_t count_unexpired(const record_t *record, int64_t now_us)
{
	size_t n = 0;

	for (size_t i = 0; i < record->n_crashes; i++)
		n += record->crashes[i].expires_us > now_us;
	return n;
}

static skh_suspect_state_t get_record_state(const record_t *record, int64_t now_us)
{
	size_t n = count_unexpired(record, now_us);

	if (n == 0)
		return SKH_SUSPECT_STATE_CLEAR;
	return n < SKH_SUSPECT_QUARANTINE_CRASHES ? SKH_SUSPECT_STATE_SUSPECT
						  : SKH_SUSPECT_STATE_QUARANTINED;
}

skh_suspect_state_t skh_suspects_get_state(const skh_suspects_t *suspects, uint64_t content_hash,
					   int64_t now_us)
{
	const record_t *record = g_hash_table_lookup(suspects->records, &content_hash);

	return record ? get_record_state(record, now_us) : SKH_SUSPECT_STATE_CLEAR;
}

static void evict_old_crashes(skh_suspects_t *suspects, int64_t now_us)
{
	recent_crash_t *oldest;

	while ((oldest = g_queue_peek_head(&suspects->recent)) != NULL &&
	       oldest->detected_us + CRASH_WINDOW_US <= now_us)
		g_free(g_queue_pop_head(&suspects->recent));
}

static bool is_crash_in_window(const skh_suspects_t *suspects, uint64_t crash_id)
{
	for (const GList *item = suspects->recent.head; item; item = item->next) {
		if (((const recent_crash_t *)item->data)->id == crash_id)
			return true;
	}
	return false;
}

/* Adds the crash to the window; returns true when the window then holds too many crashes. */
static bool detect_platform_fault(skh_suspects_t *suspects, uint64_t crash_id, int64_t now_us)
{
	recent_crash_t *recent;

	evict_old_crashes(suspects, now_us);
	if (!is_crash_in_window(suspects, crash_id)) {
		recent = g_new0(recent_crash_t, 1);
		recent->id = crash_id;
		recent->detected_us = now_us;
		g_queue_push_tail(&suspects->recent, recent);
	}
	return g_queue_get_length(&suspects->recent) > MAX_CRASHES_IN_WINDOW;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return count_unexpired(value, *(const int64_t *)now_us) == 0;
}

static record_t *get_or_create_record(skh_suspects_t *suspects, uint64_t content_hash,
				      int64_t now_us)
{
	record_t *record = g_hash_table_lookup(suspects->records, &content_hash);

	if (record)
		return record;
	if (g_hash_table_size(suspects->records) >= MAX_RECORDS)
		g_hash_table_foreach_remove(suspects->records, is_expired, &now_us);
	if (g_hash_table_size(suspects->records) >= MAX_RECORDS)
		return NULL;
	record = g_new0(record_t, 1);
	record->content_hash = content_hash;
	g_hash_table_insert(suspects->records, &record->content_hash, record);
	return record;
}

static void remove_crash(record_t *record, size_t index)
{
	record->crashes[index] = record->crashes[--record->n_crashes];
}

/* Returns the crash in the request's record, or NULL when the record or the table is full. */
static crash_t *add_crash(skh_suspects_t *suspects, uint64_t content_hash, uint64_t crash_id,
			  int64_t now_us, bool *is_new)
{
	record_t *record = get_or_create_record(suspects, content_hash, now_us);
	crash_t *crash;

	*is_new = false;
	if (!record)
		return NULL;
	for (size_t i = record->n_crashes; i-- > 0;) {
		if (record->crashes[i].id == crash_id)
			return &record->crashes[i];
		if (record->crashes[i].expires_us <= now_us)
			remove_crash(record, i);
	}
	if (record->n_crashes == SKH_SUSPECT_QUARANTINE_CRASHES)
		return NULL;
	crash = &record->crashes[record->n_crashes++];
	*crash = (crash_t){ crash_id, now_us + SKH_SUSPECT_EXPIRY_S * SKH_US_PER_S, false, false };
	*is_new = true;
	return crash;
}

bool skh_suspects_record_crash(skh_suspects_t *suspects, uint64_t content_hash, uint64_t crash_id,
			       int64_t now_us)
{
	bool is_new;

	if (detect_platform_fault(suspects, crash_id, now_us))
		return false;
	(void)add_crash(suspects, content_hash, crash_id, now_us, &is_new);
	return is_new;
}

size_t skh_suspects_clear(skh_suspects_t *suspects, uint64_t content_hash,
			  uint64_t crash_ids[SKH_SUSPECT_QUARANTINE_CRASHES])
{
	const record_t *record = g_hash_table_lookup(suspects->records, &content_hash);
	size_t n = record ? record->n_crashes : 0;

	for (size_t i = 0; i < n; i++)
		crash_ids[i] = record->crashes[i].id;
	g_hash_table_remove(suspects->records, &content_hash);
	return n;
}

void skh_suspects_begin_snapshot(skh_suspects_t *suspects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		for (size_t i = 0; i < record->n_crashes; i++)
			record->crashes[i].in_snapshot = false;
	}
}

void skh_suspects_add_snapshot_crash(skh_suspects_t *suspects, uint64_t content_hash,
				     uint64_t crash_id, int64_t now_us)
{
	bool is_new;
	crash_t *crash = add_crash(suspects, content_hash, crash_id, now_us, &is_new);

	if (!crash)
		return;
	crash->is_shared = true;
	crash->in_snapshot = true;
}

void skh_suspects_end_snapshot(skh_suspects_t *suspects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		for (size_t i = record->n_crashes; i-- > 0;) {
			if (record->crashes[i].is_shared && !record->crashes[i].in_snapshot)
				remove_crash(record, i);
		}
		if (record->n_crashes == 0)
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
		skh_suspect_state_t state = get_record_state(record, now_us);

		if (state != SKH_SUSPECT_STATE_CLEAR)
			fn(context, record->content_hash, state);
	}
}
