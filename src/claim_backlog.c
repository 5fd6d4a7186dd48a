#include "claim_backlog.h"

#include "clock.h"
#include "wire.h"

#include <glib.h>
#include <string.h>

#define RETRY_US   (2 * SKH_US_PER_S)
#define MAX_ITEMS  4096
#define GIVE_UP_US (SKH_CLAIM_MAX_KEY_AGE_MS * SKH_US_PER_MS)
#define NEVER	   INT64_MAX

typedef struct item {
	uint64_t id;
	char *path;
	char *owner;
	char *value;
	int64_t expected;
	int64_t due_us; /* NEVER while a write is under way */
	int64_t give_up_us;
} item_t;

struct skh_claim_backlog {
	uint64_t n_added;
	GHashTable *items; /* id -> item_t */
};

static void free_item(gpointer data)
{
	item_t *item = data;

	g_free(item->path);
	g_free(item->owner);
	g_free(item->value);
	g_free(item);
}

skh_claim_backlog_t *skh_claim_backlog_new(void)
{
	skh_claim_backlog_t *backlog = g_new0(skh_claim_backlog_t, 1);

	backlog->items = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_item);
	return backlog;
}

void skh_claim_backlog_free(skh_claim_backlog_t *backlog)
{
	g_hash_table_unref(backlog->items);
	g_free(backlog);
}

void skh_claim_backlog_add(skh_claim_backlog_t *backlog, const char *path, const skh_claim_t *claim,
			   int64_t expected, int64_t now_us)
{
	item_t *item;

	if (g_hash_table_size(backlog->items) >= MAX_ITEMS)
		return;
	item = g_new0(item_t, 1);
	item->id = SKH_WIRE_LOCAL_TRANSFER_BIT | ++backlog->n_added;
	item->path = g_strdup(path);
	item->owner = g_strdup(claim->owner);
	item->value = skh_claim_encode(claim);
	item->expected = expected;
	item->due_us = now_us + RETRY_US;
	item->give_up_us = now_us + GIVE_UP_US;
	g_hash_table_insert(backlog->items, &item->id, item);
}

bool skh_claim_backlog_next_due(skh_claim_backlog_t *backlog, int64_t now_us,
				skh_claim_backlog_write_t *write)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, backlog->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		item_t *item = value;

		if (item->due_us > now_us)
			continue;
		if (item->give_up_us <= now_us) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		item->due_us = NEVER;
		*write = (skh_claim_backlog_write_t){ item->id, item->path, item->value,
						      item->expected };
		return true;
	}
	return false;
}

void skh_claim_backlog_mark_written(skh_claim_backlog_t *backlog, uint64_t id)
{
	g_hash_table_remove(backlog->items, &id);
}

void skh_claim_backlog_mark_failed(skh_claim_backlog_t *backlog, uint64_t id, int64_t now_us)
{
	item_t *item = g_hash_table_lookup(backlog->items, &id);

	if (item)
		item->due_us = now_us + RETRY_US;
}

/* The record is still the one that this owner left open. */
static bool is_left_open(const char *found, const char *owner)
{
	skh_claim_t claim = { 0 };
	skh_error_t err;
	bool open = skh_claim_decode(found, &claim, &err) && claim.state == SKH_CLAIM_CLAIMED &&
		    strcmp(claim.owner, owner) == 0;

	skh_claim_clear(&claim);
	return open;
}

void skh_claim_backlog_resolve_conflict(skh_claim_backlog_t *backlog, uint64_t id,
					const char *found, int64_t mod_revision, int64_t now_us)
{
	item_t *item = g_hash_table_lookup(backlog->items, &id);

	if (!item)
		return;
	if (found && !is_left_open(found, item->owner)) {
		g_hash_table_remove(backlog->items, &id);
		return;
	}
	item->expected = found ? mod_revision : 0;
	item->due_us = now_us;
}

size_t skh_claim_backlog_count(const skh_claim_backlog_t *backlog)
{
	return g_hash_table_size(backlog->items);
}
