#include "roster.h"

#include <string.h>

struct skh_roster_builder {
	GHashTable *servers; /* id -> skh_server_t */
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
	skh_roster_builder_t *record = g_new0(skh_roster_builder_t, 1);

	record->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
	return record;
}

void skh_roster_builder_free(skh_roster_builder_t *record)
{
	g_hash_table_unref(record->servers);
	g_free(record);
}

static bool is_same(const skh_server_t *a, const skh_server_t *b)
{
	return strcmp(a->service, b->service) == 0 && strcmp(a->host, b->host) == 0 &&
	       a->port == b->port && strcmp(a->failure_domain, b->failure_domain) == 0 &&
	       a->slots == b->slots && a->leaving == b->leaving &&
	       a->started_unix_ms == b->started_unix_ms &&
	       a->grace_expires_us == b->grace_expires_us;
}

bool skh_roster_builder_put(skh_roster_builder_t *record, skh_server_t *server)
{
	const skh_server_t *old = g_hash_table_lookup(record->servers, server->id);

	if (old && is_same(old, server)) {
		skh_server_free(server);
		return false;
	}
	(void)g_hash_table_replace(record->servers, server->id, server);
	return true;
}

bool skh_roster_builder_remove(skh_roster_builder_t *record, const char *id, bool lapsed,
			       int64_t now_us)
{
	skh_server_t *server = g_hash_table_lookup(record->servers, id);

	if (!server)
		return false;
	/* A server that said it was leaving does not come back. */
	if (!lapsed || server->leaving) {
		(void)g_hash_table_remove(record->servers, id);
		return true;
	}
	if (server->grace_expires_us == 0)
		server->grace_expires_us = now_us + SKH_ROSTER_GRACE_US;
	return false;
}

bool skh_roster_builder_retain(skh_roster_builder_t *record, GHashTable *ids, bool lapsed,
			       int64_t now_us)
{
	g_autoptr(GList) known = g_hash_table_get_keys(record->servers);
	bool changed = false;

	for (const GList *item = known; item; item = item->next) {
		if (!g_hash_table_contains(ids, item->data) &&
		    skh_roster_builder_remove(record, item->data, lapsed, now_us))
			changed = true;
	}
	return changed;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer context)
{
	const skh_server_t *server = value;
	int64_t now_us = *(const int64_t *)context;

	(void)key;
	return server->grace_expires_us != 0 && now_us >= server->grace_expires_us;
}

bool skh_roster_builder_expire(skh_roster_builder_t *record, int64_t now_us)
{
	return g_hash_table_foreach_remove(record->servers, is_expired, &now_us) > 0;
}

static gint by_id(gconstpointer left, gconstpointer right)
{
	const skh_server_t *const *a = left;
	const skh_server_t *const *b = right;

	return strcmp((*a)->id, (*b)->id);
}

skh_roster_t *skh_roster_builder_snapshot(const skh_roster_builder_t *record, int64_t revision)
{
	skh_roster_t *roster = g_new0(skh_roster_t, 1);
	GHashTableIter iter;
	gpointer server;

	roster->revision = revision;
	roster->servers = g_ptr_array_new_with_free_func(free_server);
	g_hash_table_iter_init(&iter, record->servers);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		g_ptr_array_add(roster->servers, skh_server_copy(server));
	g_ptr_array_sort(roster->servers, by_id);
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
