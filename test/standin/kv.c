/*
 * Stand-in for the platform's key-value service: the part of the etcd v3 JSON
 * gateway that the product uses. POST /fault {"mode":M,"count":N} makes the
 * next N calls fail: "lose" does the work and hangs up, "drop" hangs up
 * without doing it, "stall" answers late by "ms"; "only" names a part of the
 * path of the calls that it strikes, "skip" lets so many of them pass. GET /counts tells the calls.
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

typedef struct entry {
	char *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
} entry_t;

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
static GTree *entries;	   /* key -> entry_t */
static GHashTable *leases; /* lease -> expiry, int64_t; TTL beside it */
static GHashTable *ttls;
static GPtrArray *events;
static fault_t fault;
static int64_t n_range, n_txn, n_lease, n_watch;

static char *decode(const json_t *object, const char *key)
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

static json_t *encode(const char *text)
{
	g_autofree char *encoded = g_base64_encode((const guchar *)text, strlen(text));

	return json_string(encoded);
}

static json_t *number(int64_t value)
{
	g_autofree char *text = g_strdup_printf("%" PRId64, value);

	return json_string(text);
}

static int64_t integer_of(const json_t *object, const char *key)
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

static void free_entry(gpointer item)
{
	entry_t *entry = item;

	g_free(entry->value);
	g_free(entry);
}

static void note_event(const char *key, const char *value)
{
	event_t *event = g_new0(event_t, 1);

	event->revision = revision;
	event->key = g_strdup(key);
	event->value = g_strdup(value);
	g_ptr_array_add(events, event);
}

static void put(const char *key, const char *value, int64_t lease)
{
	entry_t *old = g_tree_lookup(entries, key);
	entry_t *fresh = g_new0(entry_t, 1);

	fresh->value = g_strdup(value);
	fresh->create_revision = old ? old->create_revision : revision;
	fresh->mod_revision = revision;
	fresh->lease = lease;
	g_tree_replace(entries, g_strdup(key), fresh);
	note_event(key, value);
}

static void delete (const char *key)
{
	if (g_tree_remove(entries, key))
		note_event(key, NULL);
}

static gboolean collect_leased(gpointer key, gpointer value, gpointer context)
{
	gpointer *pair = context;

	if (((entry_t *)value)->lease == *(int64_t *)pair[0])
		g_ptr_array_add(pair[1], g_strdup(key));
	return FALSE;
}

static void drop_lease(int64_t lease)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	gpointer pair[] = { &lease, keys };

	g_tree_foreach(entries, collect_leased, pair);
	if (keys->len > 0)
		revision++;
	for (guint i = 0; i < keys->len; i++)
		delete (keys->pdata[i]);
	g_hash_table_remove(leases, &lease);
}

static void expire_leases(void)
{
	int64_t now = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer id;
	gpointer expiry;
	int64_t due = 0;

	do {
		due = 0;
		g_hash_table_iter_init(&iter, leases);
		while (g_hash_table_iter_next(&iter, &id, &expiry)) {
			if (*(int64_t *)expiry <= now)
				due = *(int64_t *)id;
		}
		if (due != 0)
			drop_lease(due);
	} while (due != 0);
}

static json_t *header(void)
{
	json_t *json = json_object();

	json_object_set_new(json, "revision", number(revision));
	return json;
}

static json_t *pair_to_json(const char *key, const entry_t *entry)
{
	json_t *json = json_object();

	json_object_set_new(json, "key", encode(key));
	json_object_set_new(json, "value", encode(entry->value));
	json_object_set_new(json, "create_revision", number(entry->create_revision));
	json_object_set_new(json, "mod_revision", number(entry->mod_revision));
	json_object_set_new(json, "lease", number(entry->lease));
	return json;
}

typedef struct range {
	const char *from;
	const char *end; /* "" for the one key */
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
	g_autofree char *from = decode(request, "key");
	g_autofree char *end = decode(request, "range_end");
	range_t range = { from, end, json_array() };
	json_t *answer = json_object();
	const entry_t *one = *end ? NULL : g_tree_lookup(entries, from);

	if (one)
		json_array_append_new(range.kvs, pair_to_json(from, one));
	else if (*end)
		g_tree_foreach(entries, collect_range, &range);
	json_object_set_new(answer, "header", header());
	json_object_set_new(answer, "count", number((int64_t)json_array_size(range.kvs)));
	json_object_set_new(answer, "kvs", range.kvs);
	return answer;
}

static bool compare_holds(const json_t *compare)
{
	g_autofree char *key = decode(compare, "key");
	const entry_t *entry = g_tree_lookup(entries, key);

	return (entry ? entry->mod_revision : 0) == integer_of(compare, "mod_revision");
}

static void do_write(const json_t *op)
{
	const json_t *request = json_object_get(op, "request_put");
	g_autofree char *key = NULL;
	g_autofree char *value = NULL;

	if (request) {
		key = decode(request, "key");
		value = decode(request, "value");
		put(key, value, integer_of(request, "lease"));
		return;
	}
	request = json_object_get(op, "request_delete_range");
	key = decode(request, "key");
	delete (key);
}

static json_t *do_ops(const json_t *ops)
{
	json_t *responses = json_array();
	bool written = false;
	json_t *op;
	size_t i;

	json_array_foreach(ops, i, op) written = written || !json_object_get(op, "request_range");
	revision += written;
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
	json_t *answer = json_object();
	bool holds = true;
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(request, "compare"), i, item) holds =
		holds && compare_holds(item);
	json_object_set_new(answer, "responses",
			    do_ops(json_object_get(request, holds ? "success" : "failure")));
	json_object_set_new(answer, "header", header());
	json_object_set_new(answer, "succeeded", json_boolean(holds));
	return answer;
}

static json_t *do_put(const json_t *request)
{
	g_autofree char *key = decode(request, "key");
	g_autofree char *value = decode(request, "value");
	json_t *answer = json_object();

	revision++;
	put(key, value, integer_of(request, "lease"));
	json_object_set_new(answer, "header", header());
	return answer;
}

static void set_expiry(int64_t lease, int64_t ttl_s)
{
	int64_t *id = g_memdup2(&lease, sizeof(lease));
	int64_t *expiry = g_new(int64_t, 1);

	*expiry = g_get_monotonic_time() + ttl_s * US_PER_S;
	g_hash_table_replace(leases, id, expiry);
}

static json_t *do_grant(const json_t *request)
{
	int64_t ttl_s = integer_of(request, "TTL");
	json_t *answer = json_object();

	next_lease++;
	set_expiry(next_lease, ttl_s);
	g_hash_table_replace(ttls, g_memdup2(&next_lease, sizeof(next_lease)),
			     g_memdup2(&ttl_s, sizeof(ttl_s)));
	json_object_set_new(answer, "ID", number(next_lease));
	json_object_set_new(answer, "TTL", number(ttl_s));
	return answer;
}

static json_t *do_keep(const json_t *request)
{
	int64_t lease = integer_of(request, "ID");
	const int64_t *ttl_s = g_hash_table_lookup(ttls, &lease);
	json_t *answer = json_object();
	json_t *result = json_object();

	if (ttl_s && g_hash_table_lookup(leases, &lease)) {
		set_expiry(lease, *ttl_s);
		json_object_set_new(result, "TTL", number(*ttl_s));
	}
	json_object_set_new(answer, "result", result);
	return answer;
}

static json_t *do_revoke(const json_t *request)
{
	drop_lease(integer_of(request, "ID"));
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

/* Returns the mode of the fault that this call meets, "" for none. */
static const char *take_fault(const char *path)
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
	json_t *answer = NULL;
	const char *mode;
	int64_t ms;

	g_mutex_lock(&lock);
	expire_leases();
	(*call->counter)++;
	mode = take_fault(call->path);
	ms = fault.ms;
	if (strcmp(mode, "drop") != 0)
		answer = call->run(request);
	g_mutex_unlock(&lock);
	json_decref(request);
	if (strcmp(mode, "stall") == 0)
		(void)usleep((useconds_t)(ms * 1000));
	if (answer && strcmp(mode, "lose") != 0)
		return standin_answer(connection, 200, answer);
	json_decref(answer);
	return standin_hang_up(connection);
}

static bool send_line(struct mg_connection *connection, json_t *result)
{
	json_t *line = json_object();
	char *text;
	bool sent;

	json_object_set_new(line, "result", result);
	text = json_dumps(line, JSON_COMPACT);
	g_autofree char *with_end = g_strconcat(text, "\n", NULL);
	sent = mg_send_chunk(connection, with_end, (unsigned)strlen(with_end)) > 0;
	free(text);
	json_decref(line);
	return sent;
}

static json_t *event_to_json(const event_t *event)
{
	json_t *json = json_object();
	json_t *kv = json_object();

	json_object_set_new(kv, "key", encode(event->key));
	json_object_set_new(kv, "mod_revision", number(event->revision));
	if (event->value)
		json_object_set_new(kv, "value", encode(event->value));
	else
		json_object_set_new(json, "type", json_string("DELETE"));
	json_object_set_new(json, "kv", kv);
	return json;
}

/* Events are in order of revision, so the newer ones stand at the end. */
static guint first_event_since(int64_t from)
{
	guint at = events->len;

	while (at > 0 && ((event_t *)events->pdata[at - 1])->revision >= from)
		at--;
	return at;
}

static json_t *events_since(int64_t from, const char *key, const char *end, int64_t *next)
{
	json_t *list = json_array();

	g_mutex_lock(&lock);
	expire_leases();
	for (guint i = first_event_since(from); i < events->len; i++) {
		const event_t *event = events->pdata[i];

		if (in_range(event->key, key, end))
			json_array_append_new(list, event_to_json(event));
	}
	*next = revision + 1;
	g_mutex_unlock(&lock);
	return list;
}

static int handle_watch(struct mg_connection *connection)
{
	json_t *request = standin_read_json(connection);
	const json_t *create = json_object_get(request, "create_request");
	g_autofree char *key = decode(create, "key");
	g_autofree char *end = decode(create, "range_end");
	int64_t from = integer_of(create, "start_revision");
	json_t *result = json_object();
	bool open;

	json_decref(request);
	g_mutex_lock(&lock);
	n_watch++;
	g_mutex_unlock(&lock);
	(void)mg_printf(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	json_object_set_new(result, "created", json_true());
	open = send_line(connection, result);
	while (open) {
		json_t *list = events_since(from, key, end, &from);

		if (json_array_size(list) > 0) {
			result = json_object();
			json_object_set_new(result, "events", list);
			open = send_line(connection, result);
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
	fault.skip = integer_of(request, "skip");
	fault.count = integer_of(request, "count");
	fault.ms = integer_of(request, "ms");
	g_mutex_unlock(&lock);
	json_decref(request);
	return standin_answer(connection, 200, json_object());
}

static int handle_counts(struct mg_connection *connection)
{
	return standin_answer(connection, 200,
			      json_pack("{s:I, s:I, s:I, s:I}", "range", (json_int_t)n_range, "txn",
					(json_int_t)n_txn, "lease", (json_int_t)n_lease, "watch",
					(json_int_t)n_watch));
}

static int handle(struct mg_connection *connection, void *context)
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
	return standin_answer(connection, 404, json_object());
}

int main(int argc, char **argv)
{
	if (argc != 2) {
		(void)fprintf(stderr, "usage: standin-kv ADDRESS:PORT\n");
		return 2;
	}
	entries = g_tree_new_full(compare_keys, NULL, g_free, free_entry);
	leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	ttls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	events = g_ptr_array_new();
	return standin_serve(argv[1], handle);
}
