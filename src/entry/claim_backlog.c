#include "claim_backlog.h"

#include "clock.h"
#include "wire.h"

#include <glib.h>
#include <string.h>

#define RETRY_DELAY_US	   (2 * SKH_US_PER_S)
#define MAX_PENDING_WRITES 4096
#define MAX_WRITE_AGE_US   (SKH_CLAIM_MAX_KEY_AGE_MS * SKH_US_PER_MS)
#define NOT_DUE_US	   INT64_MAX

typedef struct pending_write {
	uint64_t id;
	char *path;
	char *owner;
	char *value;
	int64_t expected_revision;
	int64_t due_us; /* NOT_DUE_US while the write is in progress */
	int64_t expires_us;
} pending_write_t;

struct skh_claim_backlog {
	uint64_t n_added;
	GHashTable *writes; /* id -> pending_write_t */
};

static void free_pending_write(gpointer data)
{
	pending_write_t *pending = data;

	g_free(pending->path);
	g_free(pending->owner);
	g_free(pending->value);
	g_free(pending);
}

skh_claim_backlog_t *skh_claim_backlog_new(void)
{
	skh_claim_backlog_t *backlog = g_new0(skh_claim_backlog_t, 1);

	backlog->writes =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending_write);
	return backlog;
}

void skh_claim_backlog_free(skh_claim_backlog_t *backlog)
{
	g_hash_table_unref(backlog->writes);
	g_free(backlog);
}

void skh_claim_backlog_add(skh_claim_backlog_t *backlog, const char *path, const skh_claim_t *claim,
			   int64_t expected_revision, int64_t now_us)
{
	pending_write_t *pending;

	if (g_hash_table_size(backlog->writes) >= MAX_PENDING_WRITES)
		return;
	pending = g_new0(pending_write_t, 1);
	pending->id = SKH_WIRE_LOCAL_ID_BIT | ++backlog->n_added;
	pending->path = g_strdup(path);
	pending->owner = g_strdup(claim->owner);
	pending->value = skh_claim_encode(claim);
	pending->expected_revision = expected_revision;
	pending->due_us = now_us + RETRY_DELAY_US;
	pending->expires_us = now_us + MAX_WRITE_AGE_US;
	g_hash_table_insert(backlog->writes, &pending->id, pending);
}

bool skh_claim_backlog_next_due(skh_claim_backlog_t *backlog, int64_t now_us,
				skh_claim_backlog_write_t *write)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, backlog->writes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending_write_t *pending = value;

		if (pending->due_us > now_us)
			continue;
		if (pending->expires_us <= now_us) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		pending->due_us = NOT_DUE_US;
		*write = (skh_claim_backlog_write_t){ pending->id, pending->path, pending->value,
						      pending->expected_revision };
		return true;
	}
	return false;
}

void skh_claim_backlog_mark_written(skh_claim_backlog_t *backlog, uint64_t id)
{
	g_hash_table_remove(backlog->writes, &id);
}

void skh_claim_backlog_mark_failed(skh_claim_backlog_t *backlog, uint64_t id, int64_t now_us)
{
	pending_write_t *pending = g_hash_table_lookup(backlog->writes, &id);

	if (pending)
		pending->due_us = now_us + RETRY_DELAY_US;
}

/* Whether the stored record is an open claim of @owner, which its pending write may replace. */
static bool is_own_open_claim(const char *found, const char *owner)
{
	skh_claim_t claim = { 0 };
	skh_error_t err;
	bool is_open = skh_claim_decode(found, &claim, &err) && claim.state == SKH_CLAIM_CLAIMED &&
		       strcmp(claim.owner, owner) == 0;

	skh_claim_clear(&claim);
	return is_open;
}

void skh_claim_backlog_resolve_conflict(skh_claim_backlog_t *backlog, uint64_t id,
					const char *found, int64_t mod_revision, int64_t now_us)
{
	pending_write_t *pending = g_hash_table_lookup(backlog->writes, &id);

	if (!pending)
		return;
	if (found && !is_own_open_claim(found, pending->owner)) {
		g_hash_table_remove(backlog->writes, &id);
		return;
	}
	pending->expected_revision = found ? mod_revision : 0;
	pending->due_us = now_us;
}

size_t skh_claim_backlog_count(const skh_claim_backlog_t *backlog)
{
	return g_hash_table_size(backlog->writes);
}
