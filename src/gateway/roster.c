#include "roster.h"

#include "buffer.h"

#include <string.h>

/* Last known entry of a server that was removed. */
typedef struct removed_server {
	int64_t started_unix_ms;
	int64_t sequence;
	int64_t forget_us;
} removed_server_t;

/*
 * Removed servers are remembered for this long: longer than the age of a copy that the store comes
 * back from, plus the time until the copy's entries of such servers expire.
 */
#define REMEMBER_REMOVED_US ((int64_t)120 * 1000000)

struct skh_roster_builder {
	GHashTable *servers; /* id -> skh_server_t */
	GHashTable *removed; /* id -> removed_server_t */
	/*
	 * Entries up to this revision may be of the copy that the store came back from; 0 if it never
	 * did, INT64_MAX until all entries were read since.
	 */
	int64_t copy_revision;
};

void skh_server_free(skh_server_t *server)
{
	if (!server)
		return;
	g_free(server->id);
	g_free(server->service);
	g_free(server->host);
	g_free(server->failure_domain);
	g_free(server);
}

uint64_t skh_server_instance_hash(const skh_server_t *server)
{
	return skh_chunk_hash(skh_chunk_from_string(server->id), (uint64_t)server->started_unix_ms);
}

skh_server_t *skh_server_copy(const skh_server_t *server)
{
	skh_server_t *copy = g_new(skh_server_t, 1);

	*copy = *server;
	copy->id = g_strdup(server->id);
	copy->service = g_strdup(server->service);
	copy->host = g_strdup(server->host);
	copy->failure_domain = g_strdup(server->failure_domain);
	return copy;
}

static void free_server(gpointer data)
{
	skh_server_free(data);
}

skh_roster_builder_t *skh_roster_builder_new(void)
{
	skh_roster_builder_t *builder = g_new0(skh_roster_builder_t, 1);

	builder->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
	builder->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return builder;
}

void skh_roster_builder_free(skh_roster_builder_t *builder)
{
	g_hash_table_unref(builder->servers);
	g_hash_table_unref(builder->removed);
	g_free(builder);
}

static bool is_equal(const skh_server_t *a, const skh_server_t *b)
{
	return strcmp(a->service, b->service) == 0 && strcmp(a->host, b->host) == 0 &&
	       a->port == b->port && strcmp(a->failure_domain, b->failure_domain) == 0 &&
	       a->slots == b->slots && a->is_leaving == b->is_leaving &&
	       a->started_unix_ms == b->started_unix_ms &&
	       a->grace_expires_us == b->grace_expires_us;
}

void skh_roster_builder_begin_era(skh_roster_builder_t *builder)
{
	builder->copy_revision = INT64_MAX;
}

void skh_roster_builder_end_copy(skh_roster_builder_t *builder, int64_t revision)
{
	if (builder->copy_revision == INT64_MAX)
		builder->copy_revision = revision;
}

/* Whether the entry was written before the one that is, or was, known of the same instance. */
static bool is_older(const skh_roster_builder_t *builder, const skh_server_t *old,
		     const skh_server_t *server)
{
	const removed_server_t *removed = g_hash_table_lookup(builder->removed, server->id);

	if (builder->copy_revision == 0 || server->revision > builder->copy_revision)
		return false;
	if (old)
		return server->started_unix_ms < old->started_unix_ms ||
		       (server->started_unix_ms == old->started_unix_ms &&
			server->sequence < old->sequence);
	return removed && (server->started_unix_ms < removed->started_unix_ms ||
			   (server->started_unix_ms == removed->started_unix_ms &&
			    server->sequence <= removed->sequence));
}

static void remember_removed(skh_roster_builder_t *builder, const skh_server_t *server,
			     int64_t now_us)
{
	removed_server_t *removed = g_new(removed_server_t, 1);

	*removed = (removed_server_t){ server->started_unix_ms, server->sequence,
				       now_us + REMEMBER_REMOVED_US };
	(void)g_hash_table_replace(builder->removed, g_strdup(server->id), removed);
}

bool skh_roster_builder_put(skh_roster_builder_t *builder, skh_server_t *server)
{
	skh_server_t *old = g_hash_table_lookup(builder->servers, server->id);
	bool changed;

	if (is_older(builder, old, server)) {
		/* It is listed, so its removal is no longer due. */
		if (old)
			old->grace_expires_us = 0;
		skh_server_free(server);
		return false;
	}
	/* An entry that is equal to readers is newer all the same. */
	changed = !old || !is_equal(old, server);
	(void)g_hash_table_replace(builder->servers, server->id, server);
	return changed;
}

bool skh_roster_builder_remove(skh_roster_builder_t *builder, const char *id, int64_t grace_ends_us,
			       int64_t now_us)
{
	skh_server_t *server = g_hash_table_lookup(builder->servers, id);

	if (!server)
		return false;
	/* A server that was leaving is not expected to register again. */
	if (now_us >= grace_ends_us || server->is_leaving) {
		remember_removed(builder, server, now_us);
		(void)g_hash_table_remove(builder->servers, id);
		return true;
	}
	server->grace_expires_us = grace_ends_us;
	return false;
}

bool skh_roster_builder_retain(skh_roster_builder_t *builder, GHashTable *ids,
			       int64_t grace_ends_us, int64_t now_us)
{
	g_autoptr(GList) known = g_hash_table_get_keys(builder->servers);
	bool changed = false;

	for (const GList *item = known; item; item = item->next) {
		if (!g_hash_table_contains(ids, item->data) &&
		    skh_roster_builder_remove(builder, item->data, grace_ends_us, now_us))
			changed = true;
	}
	return changed;
}

void skh_roster_builder_extend_grace(skh_roster_builder_t *builder, int64_t grace_ends_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, builder->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		skh_server_t *server = value;

		if (server->grace_expires_us != 0)
			server->grace_expires_us = grace_ends_us;
	}
}

int64_t skh_roster_builder_next_expiry_us(const skh_roster_builder_t *builder)
{
	int64_t next_us = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, builder->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const skh_server_t *server = value;

		if (server->grace_expires_us != 0)
			next_us = MIN(next_us, server->grace_expires_us);
	}
	return next_us;
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer context)
{
	(void)key;
	return *(const int64_t *)context >= ((const removed_server_t *)value)->forget_us;
}

bool skh_roster_builder_expire(skh_roster_builder_t *builder, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	(void)g_hash_table_foreach_remove(builder->removed, is_forgotten, &now_us);
	g_hash_table_iter_init(&iter, builder->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const skh_server_t *server = value;

		if (server->grace_expires_us == 0 || now_us < server->grace_expires_us)
			continue;
		remember_removed(builder, server, now_us);
		g_hash_table_iter_remove(&iter);
		changed = true;
	}
	return changed;
}

static gint compare_by_id(gconstpointer left, gconstpointer right)
{
	const skh_server_t *const *a = left;
	const skh_server_t *const *b = right;

	return strcmp((*a)->id, (*b)->id);
}

skh_roster_t *skh_roster_builder_snapshot(const skh_roster_builder_t *builder, int64_t revision)
{
	skh_roster_t *roster = g_new0(skh_roster_t, 1);
	GHashTableIter iter;
	gpointer server;

	roster->revision = revision;
	roster->servers = g_ptr_array_new_with_free_func(free_server);
	g_hash_table_iter_init(&iter, builder->servers);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		g_ptr_array_add(roster->servers, skh_server_copy(server));
	g_ptr_array_sort(roster->servers, compare_by_id);
	return roster;
}

void skh_roster_clear(skh_roster_t *roster)
{
	(void)g_ptr_array_free(roster->servers, TRUE);
}

void skh_roster_free(skh_roster_t *roster)
{
	if (!roster)
		return;
	skh_roster_clear(roster);
	g_free(roster);
}

const skh_server_t *skh_roster_find(const skh_roster_t *roster, const char *id)
{
	for (guint i = 0; i < roster->servers->len; i++) {
		const skh_server_t *server = g_ptr_array_index(roster->servers, i);

		if (strcmp(server->id, id) == 0)
			return server;
	}
	return NULL;
}
