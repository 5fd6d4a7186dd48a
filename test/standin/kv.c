/*
 * Stand-in for the platform's key-value service: the part of the etcd v3 JSON gateway that
 * the product uses.
 *
 *   GET /counts                             number of range, txn, lease and watch calls; txn
 *                                           includes puts
 *   POST /fault {"mode":M,"count":N}        apply a fault to the next N calls:
 *     "lose"     execute the call, then close the connection without a response
 *     "drop"     close the connection without executing the call
 *     "stall"    execute the call, but respond "ms" milliseconds later
 *   With "only", a fault applies only to calls whose path contains that text; with "skip":K,
 *   the first K of these calls are exempt.
 */
#define _GNU_SOURCE
#include "standin.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WATCH_POLL_US (20 * 1000)
#define US_PER_S      1000000
#define MAX_EVENTS    100000

typedef struct item {
	char *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
} item_t;

typedef struct event {
	int64_t revision;
	char *key;
	char *value; /* NULL for a deletion */
} event_t;

typedef struct fault {
	char mode[16];
	char only[16];
	int64_t skip;
	int64_t count;
	int64_t ms;
} fault_t;

static GMutex lock;
static int64_t revision = 1;
static int64_t next_lease = 1000;
static GTree *items;	       /* key -> item_t */
static GHashTable *leases;     /* lease -> expiry time, int64_t */
static GHashTable *lease_ttls; /* lease -> TTL in seconds, int64_t */
static GPtrArray *events;
static fault_t fault;
static int64_t n_range, n_txn, n_lease, n_watch;

static char *decode_field(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));
	gsize len = 0;
	guchar *bytes;
	char *copy;

	if (!text || !*text)
		return g_strdup("");
	bytes = g_base64_decode(text, &len);
	copy = g_strndup((const char *)bytes, len);
	g_free(bytes);
	return copy;
}

static json_t *encode_base64(const char *text)
{
	g_autofree char *encoded = g_base64_encode((const guchar *)text, strlen(text));

	return json_string(encoded);
}

static json_t *int64_to_json(int64_t value)
{
	g_autofree char *text = g_strdup_printf("%" PRId64, value);

	return json_string(text);
}

static int64_t get_integer(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void free_item(gpointer data)
{
	item_t *item = data;

	g_free(item->value);
	g_free(item);
}

static void record_event(const char *key, const char *value)
{
	event_t *event = g_new0(event_t, 1);

	event->revision = revision;
	event->key = g_strdup(key);
	event->value = g_strdup(value);
	g_ptr_array_add(events, event);
}

static void put_key(const char *key, const char *value, int64_t lease)
{
	item_t *old_item = g_tree_lookup(items, key);
	item_t *new_item = g_new0(item_t, 1);

	new_item->value = g_strdup(value);
	new_item->create_revision = old_item ? old_item->create_revision : revision;
	new_item->mod_revision = revision;
	new_item->lease = lease;
	g_tree_replace(items, g_strdup(key), new_item);
	record_event(key, value);
}

static void delete_key(const char *key)
{
	if (g_tree_remove(items, key))
		record_event(key, NULL);
}

static gboolean collect_leased(gpointer key, gpointer value, gpointer data)
{
	gpointer *context = data;

	if (((item_t *)value)->lease == *(int64_t *)context[0])
		g_ptr_array_add(context[1], g_strdup(key));
	return FALSE;
}

static void revoke_lease(int64_t lease)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	gpointer context[] = { &lease, keys };

	g_tree_foreach(items, collect_leased, context);
	if (keys->len > 0)
		revision++;
	for (guint i = 0; i < keys->len; i++)
		delete_key(keys->pdata[i]);
	g_hash_table_remove(leases, &lease);
}

static void expire_leases(void)
{
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer id;
	gpointer expires_us;
	int64_t expired_lease = 0;

	do {
		expired_lease = 0;
		g_hash_table_iter_init(&iter, leases);
		while (g_hash_table_iter_next(&iter, &id, &expires_us)) {
			if (*(int64_t *)expires_us <= now_us)
				expired_lease = *(int64_t *)id;
		}
		if (expired_lease != 0)
			revoke_lease(expired_lease);
	} while (expired_lease != 0);
}

static json_t *make_header(void)
{
	json_t *json = json_object();

	json_object_set_new(json, "revision", int64_to_json(revision));
	return json;
}

static json_t *pair_to_json(const char *key, const item_t *item)
{
	json_t *json = json_object();

	json_object_set_new(json, "key", encode_base64(key));
	json_object_set_new(json, "value", encode_base64(item->value));
	json_object_set_new(json, "create_revision", int64_to_json(item->create_revision));
	json_object_set_new(json, "mod_revision", int64_to_json(item->mod_revision));
	json_object_set_new(json, "lease", int64_to_json(item->lease));
	return json;
}

typedef struct range {
	const char *from;
	const char *end; /* exclusive; "" for the single key @from */
	json_t *kvs;
} range_t;

static bool in_range(const char *key, const char *from, const char *end)
{
	if (!*end)
		return strcmp(key, from) == 0;
	return strcmp(key, from) >= 0 && strcmp(key, end) < 0;
}

static gboolean collect_range(gpointer key, gpointer value, gpointer context)
{
	range_t *range = context;

	if (in_range(key, range->from, range->end))
		json_array_append_new(range->kvs, pair_to_json(key, value));
	return FALSE;
}

static json_t *do_range(const json_t *request)
{
	g_autofree char *from = decode_field(request, "key");
	g_autofree char *end = decode_field(request, "range_end");
	range_t range = { from, end, json_array() };
	json_t *response = json_object();
	const item_t *item = *end ? NULL : g_tree_lookup(items, from);

	if (item)
		json_array_append_new(range.kvs, pair_to_json(from, item));
	else if (*end)
		g_tree_foreach(items, collect_range, &range);
	json_object_set_new(response, "header", make_header());
	json_object_set_new(response, "count", int64_to_json((int64_t)json_array_size(range.kvs)));
	json_object_set_new(response, "kvs", range.kvs);
	return response;
}

static bool is_compare_true(const json_t *compare)
{
	g_autofree char *key = decode_field(compare, "key");
	const item_t *item = g_tree_lookup(items, key);

	return (item ? item->mod_revision : 0) == get_integer(compare, "mod_revision");
}

static void do_write(const json_t *op)
{
	const json_t *request = json_object_get(op, "request_put");
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	if (request) {
		key = decode_field(request, "key");
		value = decode_field(request, "value");
		put_key(key, value, get_integer(request, "lease"));
		return;
	}
	request = json_object_get(op, "request_delete_range");
	key = decode_field(request, "key");
	delete_key(key);
}

static json_t *do_ops(const json_t *ops)
{
	json_t *responses = json_array();
	bool is_write = false;
	json_t *op;
	size_t i;

	json_array_foreach(ops, i, op) is_write = is_write || !json_object_get(op, "request_range");
	revision += is_write;
	json_array_foreach(ops, i, op)
	{
		const json_t *range = json_object_get(op, "request_range");
		json_t *response = json_object();

		if (range)
			json_object_set_new(response, "response_range", do_range(range));
		else
			do_write(op);
		json_array_append_new(responses, response);
	}
	return responses;
}

static json_t *do_txn(const json_t *request)
{
	json_t *response = json_object();
	bool is_success = true;
	json_t *compare;
	size_t i;

	json_array_foreach(json_object_get(request, "compare"), i, compare) is_success =
		is_success && is_compare_true(compare);
	json_object_set_new(response, "responses",
			    do_ops(json_object_get(request, is_success ? "success" : "failure")));
	json_object_set_new(response, "header", make_header());
	json_object_set_new(response, "succeeded", json_boolean(is_success));
	return response;
}

static json_t *do_put(const json_t *request)
{
	g_autofree char *key = decode_field(request, "key");
	g_autofree char *value = decode_field(request, "value");
	json_t *response = json_object();

	revision++;
	put_key(key, value, get_integer(request, "lease"));
	json_object_set_new(response, "header", make_header());
	return response;
}

static void set_expiry(int64_t lease, int64_t ttl_s)
{
	int64_t *id = g_memdup2(&lease, sizeof(lease));
	int64_t *expires_us = g_new(int64_t, 1);

	*expires_us = g_get_monotonic_time() + ttl_s * US_PER_S;
	g_hash_table_replace(leases, id, expires_us);
}

static json_t *do_grant(const json_t *request)
{
	int64_t ttl_s = get_integer(request, "TTL");
	json_t *response = json_object();

	next_lease++;
	set_expiry(next_lease, ttl_s);
	g_hash_table_replace(lease_ttls, g_memdup2(&next_lease, sizeof(next_lease)),
			     g_memdup2(&ttl_s, sizeof(ttl_s)));
	json_object_set_new(response, "ID", int64_to_json(next_lease));
	json_object_set_new(response, "TTL", int64_to_json(ttl_s));
	return response;
}

static json_t *do_keep(const json_t *request)
{
	int64_t lease = get_integer(request, "ID");
	const int64_t *ttl_s = g_hash_table_lookup(lease_ttls, &lease);
	json_t *response = json_object();
	json_t *result = json_object();

	if (ttl_s && g_hash_table_lookup(leases, &lease)) {
		set_expiry(lease, *ttl_s);
		json_object_set_new(result, "TTL", int64_to_json(*ttl_s));
	}
	json_object_set_new(response, "result", result);
	return response;
}

static json_t *do_revoke(const json_t *request)
{
	revoke_lease(get_integer(request, "ID"));
	return json_object();
}

typedef struct call {
	const char *path;
	json_t *(*run)(const json_t *request);
	int64_t *counter;
} call_t;

static const call_t calls[] = {
	{ "/v3/kv/range", do_range, &n_range },
	{ "/v3/kv/put", do_put, &n_txn },
	{ "/v3/kv/txn", do_txn, &n_txn },
	{ "/v3/lease/grant", do_grant, &n_lease },
	{ "/v3/lease/keepalive", do_keep, &n_lease },
	{ "/v3/lease/revoke", do_revoke, &n_lease },
};

/* Returns the mode of the fault that applies to this call, "" for none. */
static const char *consume_fault(const char *path)
{
	if (fault.count <= 0 || !strstr(path, fault.only))
		return "";
	if (fault.skip-- > 0)
		return "";
	fault.count--;
	return fault.mode;
}

static int handle_call(struct mg_connection *connection, const call_t *call)
{
	json_t *request = standin_read_json(connection);
	json_t *response = NULL;
	const char *mode;
	int64_t ms;

	g_mutex_lock(&lock);
	expire_leases();
	(*call->counter)++;
	mode = consume_fault(call->path);
	ms = fault.ms;
	if (strcmp(mode, "drop") != 0)
		response = call->run(request);
	g_mutex_unlock(&lock);
	json_decref(request);
	if (strcmp(mode, "stall") == 0)
		(void)usleep((useconds_t)(ms * 1000));
	if (response && strcmp(mode, "lose") != 0)
		return standin_respond(connection, 200, response);
	json_decref(response);
	return standin_close_connection(connection);
}

static bool send_line(struct mg_connection *connection, json_t *result)
{
	json_t *line = json_object();
	char *text;
	bool is_sent;

	json_object_set_new(line, "result", result);
	text = json_dumps(line, JSON_COMPACT);
	g_autofree char *text_line = g_strconcat(text, "\n", NULL);
	is_sent = mg_send_chunk(connection, text_line, (unsigned)strlen(text_line)) > 0;
	free(text);
	json_decref(line);
	return is_sent;
}

static json_t *event_to_json(const event_t *event)
{
	json_t *json = json_object();
	json_t *kv = json_object();

	json_object_set_new(kv, "key", encode_base64(event->key));
	json_object_set_new(kv, "mod_revision", int64_to_json(event->revision));
	if (event->value)
		json_object_set_new(kv, "value", encode_base64(event->value));
	else
		json_object_set_new(json, "type", json_string("DELETE"));
	json_object_set_new(json, "kv", kv);
	return json;
}

/* Events are sorted by revision, so the search starts at the end. */
static guint find_first_event_since(int64_t from_revision)
{
	guint index = events->len;

	while (index > 0 && ((event_t *)events->pdata[index - 1])->revision >= from_revision)
		index--;
	return index;
}

static json_t *get_events_since(int64_t from_revision, const char *key, const char *end,
				int64_t *next_revision)
{
	json_t *list = json_array();

	g_mutex_lock(&lock);
	expire_leases();
	for (guint i = find_first_event_since(from_revision); i < events->len; i++) {
		const event_t *event = events->pdata[i];

		if (in_range(event->key, key, end))
			json_array_append_new(list, event_to_json(event));
	}
	*next_revision = revision + 1;
	g_mutex_unlock(&lock);
	return list;
}

static int handle_watch(struct mg_connection *connection)
{
	json_t *request = standin_read_json(connection);
	const json_t *create = json_object_get(request, "create_request");
	g_autofree char *key = decode_field(create, "key");
	g_autofree char *end = decode_field(create, "range_end");
	int64_t from_revision = get_integer(create, "start_revision");
	json_t *result = json_object();
	bool is_open;

	json_decref(request);
	g_mutex_lock(&lock);
	n_watch++;
	g_mutex_unlock(&lock);
	(void)mg_printf(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	json_object_set_new(result, "created", json_true());
	is_open = send_line(connection, result);
	while (is_open) {
		json_t *list = get_events_since(from_revision, key, end, &from_revision);

		if (json_array_size(list) > 0) {
			result = json_object();
			json_object_set_new(result, "events", list);
			is_open = send_line(connection, result);
		} else {
			json_decref(list);
		}
		(void)usleep(WATCH_POLL_US);
	}
	return 200;
}

static int handle_fault(struct mg_connection *connection)
{
	json_t *request = standin_read_json(connection);
	const char *mode = json_string_value(json_object_get(request, "mode"));
	const char *only = json_string_value(json_object_get(request, "only"));

	g_mutex_lock(&lock);
	(void)g_strlcpy(fault.mode, mode ? mode : "", sizeof(fault.mode));
	(void)g_strlcpy(fault.only, only ? only : "", sizeof(fault.only));
	fault.skip = get_integer(request, "skip");
	fault.count = get_integer(request, "count");
	fault.ms = get_integer(request, "ms");
	g_mutex_unlock(&lock);
	json_decref(request);
	return standin_respond(connection, 200, json_object());
}

static int handle_counts(struct mg_connection *connection)
{
	return standin_respond(connection, 200,
			       json_pack("{s:I, s:I, s:I, s:I}", "range", (json_int_t)n_range,
					 "txn", (json_int_t)n_txn, "lease", (json_int_t)n_lease,
					 "watch", (json_int_t)n_watch));
}

static int handle_request(struct mg_connection *connection, void *context)
{
	const char *path = mg_get_request_info(connection)->local_uri;

	(void)context;
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strcmp(calls[i].path, path) == 0)
			return handle_call(connection, &calls[i]);
	}
	if (strcmp(path, "/v3/watch") == 0)
		return handle_watch(connection);
	if (strcmp(path, "/fault") == 0)
		return handle_fault(connection);
	if (strcmp(path, "/counts") == 0)
		return handle_counts(connection);
	return standin_respond(connection, 404, json_object());
}

int main(int argc, char **argv)
{
	if (argc != 2) {
		(void)fprintf(stderr, "usage: standin-kv ADDRESS:PORT\n");
		return 2;
	}
	items = g_tree_new_full(compare_keys, NULL, g_free, free_item);
	leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	lease_ttls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	events = g_ptr_array_new();
	return standin_serve(argv[1], handle_request);
}
