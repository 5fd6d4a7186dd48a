/*
 * Stand-in for the users' metadata store: items with revisions, ranges, long polls,
 * transactions and leases.
 *
 *   POST /put {"key":K,"value":V}           write an item, as an operator does
 *   DELETE /put?key=K                       delete an item
 *   GET /counts                             number of calls and current revision
 *   POST /fault {"mode":M,"count":N,"ms":T,"only":PART}
 *                                           apply a fault to the next N calls whose path
 *                                           contains PART:
 *     "down"      respond with status 503
 *     "slow"      wait T ms before executing the call
 *     "lose"      execute the call, then close the connection without a response
 *     "drop"      close the connection without executing the call
 *     "silent"    wait SILENT_DELAY_US, then close the connection without executing the call
 *     "forget"    discard the history at once, so that a watch from an older revision fails
 *   POST /copy                              keep a copy of the present state
 *   POST /restore                           come back from that copy, in the next era
 */
#define _GNU_SOURCE
#include "standin.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define POLL_INTERVAL_US	   (10 * 1000)
#define US_PER_MS		   1000
#define SILENT_DELAY_US		   (3 * 1000 * 1000)
#define MAX_HISTORY		   20000
#define MAX_EVENTS		   200
#define STATUS_GONE		   410
#define STATUS_PRECONDITION_FAILED 412

typedef struct item {
	char *value; /* base64 */
	int64_t revision;
	int64_t create_revision;
	int64_t lease;
} item_t;

typedef struct event {
	int64_t revision;
	char *key;
	json_t *json;
} event_t;

static GMutex lock;
static GTree *items;	       /* key -> item_t */
static GArray *history;	       /* event_t */
static GHashTable *leases;     /* id -> expires_us, both int64_t */
static GHashTable *lease_ttls; /* id -> TTL in ms, both int64_t */
static int64_t revision = 5;
static int64_t next_lease = 100;
static int64_t compacted_revision; /* history up to this revision is discarded */
static int64_t n_calls;
static GTree *copied_items;
static int64_t copied_revision;
static int64_t copied_next_lease;
static int64_t era = 1;
static char fault_mode[16];
static char fault_only[32];
static int64_t n_faults;
static int64_t fault_ms;

static void free_item(gpointer data)
{
	item_t *item = data;

	g_free(item->value);
	g_free(item);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static json_t *item_to_json(const char *key, const item_t *item)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key, "value", item->value, "revision",
			 (json_int_t)item->revision, "create-rev",
			 (json_int_t)item->create_revision, "lease", (json_int_t)item->lease);
}

static void add_event(const char *key, json_t *json)
{
	event_t event = { revision, g_strdup(key), json };

	g_array_append_val(history, event);
	if (history->len > MAX_HISTORY) {
		event_t *oldest = &g_array_index(history, event_t, 0);

		compacted_revision = oldest->revision;
		g_free(oldest->key);
		json_decref(oldest->json);
		g_array_remove_index(history, 0);
	}
}

/* @value is base64. */
static void put_key(const char *key, const char *value, int64_t lease)
{
	item_t *old_item = g_tree_lookup(items, key);
	item_t *item = g_new0(item_t, 1);

	item->value = g_strdup(value);
	item->revision = ++revision;
	item->create_revision = old_item ? old_item->create_revision : revision;
	item->lease = lease;
	g_tree_replace(items, g_strdup(key), item);
	add_event(key, item_to_json(key, item));
}

static void delete_key(const char *key)
{
	g_autofree char *owned_key = g_strdup(key);

	if (!g_tree_lookup(items, owned_key))
		return;
	g_tree_remove(items, owned_key);
	revision++;
	add_event(owned_key, json_pack("{s:s, s:I, s:b}", "key", owned_key, "revision",
				       (json_int_t)revision, "tombstone", 1));
}

typedef struct search {
	const char *prefix;
	const char *after;
	int64_t lease;
	json_t *found;
	GPtrArray *keys;
} search_t;

static gboolean match_prefix(gpointer key, gpointer value, gpointer data)
{
	search_t *search = data;

	if (g_str_has_prefix(key, search->prefix) &&
	    (!search->after || strcmp(key, search->after) > 0))
		json_array_append_new(search->found, item_to_json(key, value));
	return FALSE;
}

static gboolean match_lease(gpointer key, gpointer value, gpointer data)
{
	search_t *search = data;

	if (((item_t *)value)->lease == search->lease)
		g_ptr_array_add(search->keys, g_strdup(key));
	return FALSE;
}

static void delete_lease(int64_t id)
{
	search_t search = { .lease = id, .keys = g_ptr_array_new_with_free_func(g_free) };

	g_tree_foreach(items, match_lease, &search);
	for (guint i = 0; i < search.keys->len; i++)
		delete_key(search.keys->pdata[i]);
	g_ptr_array_unref(search.keys);
	(void)g_hash_table_remove(leases, &id);
}

static void expire_leases(void)
{
	g_autoptr(GList) ids = g_hash_table_get_keys(leases);

	for (GList *id = ids; id; id = id->next) {
		const int64_t *expires_us = g_hash_table_lookup(leases, id->data);

		if (g_get_monotonic_time() > *expires_us)
			delete_lease(*(int64_t *)id->data);
	}
}

static void set_lease_expiry(int64_t id, int64_t ttl_ms)
{
	int64_t expires_us = g_get_monotonic_time() + ttl_ms * US_PER_MS;

	(void)g_hash_table_replace(leases, g_memdup2(&id, sizeof(id)),
				   g_memdup2(&expires_us, sizeof(expires_us)));
	(void)g_hash_table_replace(lease_ttls, g_memdup2(&id, sizeof(id)),
				   g_memdup2(&ttl_ms, sizeof(ttl_ms)));
}

static char *get_query_text(struct mg_connection *connection, const char *name)
{
	const char *query = mg_get_request_info(connection)->query_string;
	char value[1024];

	if (!query || mg_get_var(query, strlen(query), name, value, sizeof(value)) < 0)
		return NULL;
	return g_strdup(value);
}

static int64_t get_query_number(struct mg_connection *connection, const char *name)
{
	g_autofree char *text = get_query_text(connection, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static json_t *get_key(struct mg_connection *connection, int *status)
{
	g_autofree char *key = get_query_text(connection, "key");
	item_t *item = key ? g_tree_lookup(items, key) : NULL;
	json_t *json = item ? item_to_json(key, item) : json_object();

	json_object_set_new(json, "current-rev", json_integer(revision));
	*status = item ? 200 : 404;
	return json;
}

static json_t *get_range(struct mg_connection *connection)
{
	g_autofree char *prefix = get_query_text(connection, "prefix");
	g_autofree char *after = get_query_text(connection, "after");
	search_t search = { .prefix = prefix ? prefix : "", .after = after, .found = json_array() };

	g_tree_foreach(items, match_prefix, &search);
	return json_pack("{s:o, s:b, s:I}", "items", search.found, "truncated", 0, "current-rev",
			 (json_int_t)revision);
}

static json_t *get_events_after(const char *prefix, int64_t after)
{
	json_t *list = json_array();

	for (guint i = 0; i < history->len && json_array_size(list) < MAX_EVENTS; i++) {
		const event_t *event = &g_array_index(history, event_t, i);

		if (event->revision > after && g_str_has_prefix(event->key, prefix))
			json_array_append(list, event->json);
	}
	return list;
}

/* The caller holds the lock, which is released while the call waits for events. */
static json_t *handle_watch(struct mg_connection *connection, int *status)
{
	g_autofree char *prefix = get_query_text(connection, "prefix");
	int64_t after = get_query_number(connection, "after");
	int64_t deadline_us =
		g_get_monotonic_time() + get_query_number(connection, "wait-ms") * US_PER_MS;
	json_t *list = NULL;

	for (;;) {
		if (after < compacted_revision || after > revision) {
			*status = STATUS_GONE;
			return json_object();
		}
		list = get_events_after(prefix ? prefix : "", after);
		if (json_array_size(list) > 0 || g_get_monotonic_time() >= deadline_us)
			break;
		json_decref(list);
		g_mutex_unlock(&lock);
		(void)usleep(POLL_INTERVAL_US);
		g_mutex_lock(&lock);
		expire_leases();
	}
	return json_pack("{s:o, s:I}", "events", list, "current-rev", (json_int_t)revision);
}

static bool has_expected_revisions(const json_t *expected)
{
	json_t *row;
	size_t index;

	json_array_foreach(expected, index, row)
	{
		const item_t *item =
			g_tree_lookup(items, json_string_value(json_object_get(row, "key")));

		if ((item ? item->revision : 0) !=
		    json_integer_value(json_object_get(row, "revision")))
			return false;
	}
	return true;
}

static json_t *run_transaction(const json_t *request, int *status)
{
	json_t *row;
	size_t index;

	if (!has_expected_revisions(json_object_get(request, "expected"))) {
		*status = STATUS_PRECONDITION_FAILED;
		return json_pack("{s:[]}", "items");
	}
	json_array_foreach(json_object_get(request, "puts"), index, row)
	{
		int64_t lease = json_integer_value(json_object_get(row, "lease"));

		if (lease != 0 && !g_hash_table_contains(leases, &lease)) {
			*status = 404;
			return json_object();
		}
		put_key(json_string_value(json_object_get(row, "key")),
			json_string_value(json_object_get(row, "value")), lease);
	}
	json_array_foreach(json_object_get(request, "remove"), index, row)
		delete_key(json_string_value(row));
	return json_pack("{s:I}", "revision", (json_int_t)revision);
}

static json_t *grant_lease(const json_t *request)
{
	int64_t ttl_ms = json_integer_value(json_object_get(request, "ttl-ms"));

	set_lease_expiry(++next_lease, ttl_ms);
	return json_pack("{s:I, s:I}", "lease", (json_int_t)next_lease, "ttl-ms",
			 (json_int_t)ttl_ms);
}

static json_t *renew_lease(const char *path, int *status)
{
	int64_t id = g_ascii_strtoll(strrchr(path, '/') + 1, NULL, 10);
	const int64_t *stored_ttl_ms = g_hash_table_lookup(lease_ttls, &id);
	int64_t ttl_ms = stored_ttl_ms ? *stored_ttl_ms : 0;

	if (!g_hash_table_contains(leases, &id) || !stored_ttl_ms) {
		*status = 404;
		return json_object();
	}
	set_lease_expiry(id, ttl_ms);
	return json_pack("{s:I}", "ttl-ms", (json_int_t)ttl_ms);
}

static json_t *put_by_operator(struct mg_connection *connection, const json_t *request)
{
	const char *value = json_string_value(json_object_get(request, "value"));
	g_autofree char *encoded = NULL;
	g_autofree char *removed_key = get_query_text(connection, "key");

	if (removed_key) {
		delete_key(removed_key);
	} else if (value) {
		encoded = g_base64_encode((const guchar *)value, strlen(value));
		put_key(json_string_value(json_object_get(request, "key")), encoded, 0);
	}
	return json_pack("{s:I}", "revision", (json_int_t)revision);
}

static gboolean copy_item(gpointer key, gpointer value, gpointer copy)
{
	item_t *item = g_memdup2(value, sizeof(item_t));

	item->value = g_strdup(item->value);
	g_tree_replace(copy, g_strdup(key), item);
	return FALSE;
}

static GTree *copy_items(GTree *source)
{
	GTree *copy = g_tree_new_full(compare_keys, NULL, g_free, free_item);

	g_tree_foreach(source, copy_item, copy);
	return copy;
}

static json_t *make_copy(void)
{
	if (copied_items)
		g_tree_unref(copied_items);
	copied_items = copy_items(items);
	copied_revision = revision;
	copied_next_lease = next_lease;
	return json_object();
}

/* Revisions and lease ids that were given out since the copy are given out again. */
static json_t *restore_copy(void)
{
	if (!copied_items)
		return json_object();
	g_tree_unref(items);
	items = copy_items(copied_items);
	revision = copied_revision;
	next_lease = copied_next_lease;
	compacted_revision = revision;
	g_array_set_size(history, 0);
	standin_set_header("Store-Era", ++era);
	return json_pack("{s:I}", "era", (json_int_t)era);
}

static json_t *set_fault(const json_t *request)
{
	const char *mode = json_string_value(json_object_get(request, "mode"));
	const char *only = json_string_value(json_object_get(request, "only"));

	(void)g_strlcpy(fault_mode, mode ? mode : "", sizeof(fault_mode));
	(void)g_strlcpy(fault_only, only ? only : "", sizeof(fault_only));
	n_faults = json_integer_value(json_object_get(request, "count"));
	fault_ms = json_integer_value(json_object_get(request, "ms"));
	if (strcmp(fault_mode, "forget") == 0) {
		compacted_revision = revision;
		n_faults = 0;
	}
	return json_object();
}

static json_t *handle_call(struct mg_connection *connection, const json_t *request, int *status)
{
	const char *path = mg_get_request_info(connection)->local_uri;

	if (strcmp(path, "/put") == 0)
		return put_by_operator(connection, request);
	if (strcmp(path, "/fault") == 0)
		return set_fault(request);
	if (strcmp(path, "/copy") == 0)
		return make_copy();
	if (strcmp(path, "/restore") == 0)
		return restore_copy();
	if (strcmp(path, "/counts") == 0)
		return json_pack("{s:I, s:I}", "calls", (json_int_t)n_calls, "revision",
				 (json_int_t)revision);
	n_calls++;
	if (strcmp(path, "/v1/kv-key") == 0)
		return get_key(connection, status);
	if (strcmp(path, "/v1/kv-range") == 0)
		return get_range(connection);
	if (strcmp(path, "/v1/kv-watch") == 0)
		return handle_watch(connection, status);
	if (strcmp(path, "/v1/kv-txn") == 0)
		return run_transaction(request, status);
	if (strcmp(path, "/v1/kv-lease") == 0)
		return grant_lease(request);
	if (g_str_has_prefix(path, "/v1/kv-keep/"))
		return renew_lease(path, status);
	*status = 404;
	return json_object();
}

/* Returns false if no fault applies to this call; else sets @mode and its delay @ms. */
static bool consume_fault(const char *path, char *mode, int64_t *ms)
{
	if (n_faults <= 0 || !g_str_has_prefix(path, "/v1/") ||
	    (*fault_only && !strstr(path, fault_only)))
		return false;
	n_faults--;
	(void)g_strlcpy(mode, fault_mode, sizeof(fault_mode));
	*ms = fault_ms;
	return true;
}

static int handle_request(struct mg_connection *connection, void *unused)
{
	const char *path = mg_get_request_info(connection)->local_uri;
	json_t *request = standin_read_json(connection);
	char mode[sizeof(fault_mode)] = "";
	int64_t ms = 0;
	int status = 200;
	json_t *response;

	(void)unused;
	g_mutex_lock(&lock);
	expire_leases();
	(void)consume_fault(path, mode, &ms);
	g_mutex_unlock(&lock);
	if (strcmp(mode, "slow") == 0)
		(void)usleep((useconds_t)(ms * US_PER_MS));
	if (strcmp(mode, "silent") == 0)
		(void)usleep(SILENT_DELAY_US);
	if (strcmp(mode, "drop") == 0 || strcmp(mode, "silent") == 0) {
		json_decref(request);
		return standin_close_connection(connection);
	}
	if (strcmp(mode, "down") == 0) {
		json_decref(request);
		return standin_respond(connection, 503, json_object());
	}
	g_mutex_lock(&lock);
	response = handle_call(connection, request, &status);
	g_mutex_unlock(&lock);
	json_decref(request);
	if (strcmp(mode, "lose") == 0) {
		json_decref(response);
		return standin_close_connection(connection);
	}
	return standin_respond(connection, status, response);
}

int main(int argc, char **argv)
{
	if (argc != 2) {
		(void)fprintf(stderr, "usage: standin-fleet_store ADDRESS:PORT\n");
		return 2;
	}
	items = g_tree_new_full(compare_keys, NULL, g_free, free_item);
	history = g_array_new(FALSE, FALSE, sizeof(event_t));
	leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	lease_ttls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	standin_set_header("Store-Era", era);
	return standin_serve(argv[1], handle_request);
}
