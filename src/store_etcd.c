/* The key-value service over the etcd v3 JSON gateway: POST /v3/..., base64 keys and values. */
#include "store.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#define CONNECT_SHARE 4 /* a quarter of the timeout may go to connecting */
#define HTTP_OK	      200
#define WATCH_POLL_MS 100
#define KEEPALIVE_S   10L

typedef struct etcd_store {
	skh_store_t base;
	char **endpoints;
	size_t n_endpoints;
	gint preferred; /* endpoint that answered last */
	int64_t timeout_ms;
} etcd_store_t;

static char *encode(const char *text)
{
	return g_base64_encode((const guchar *)text, strlen(text));
}

/* The gateway writes 64-bit integers as texts. */
static int64_t integer_of(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

/* The end of the range of all keys that start with @prefix: its last byte plus one. */
static char *range_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	size_t len = strlen(end);

	if (len > 0)
		end[len - 1]++;
	return end;
}

static void set_encoded(json_t *object, const char *key, const char *text)
{
	g_autofree char *encoded = encode(text);

	json_object_set_new(object, key, json_string(encoded));
}

/* Only a failure before the connection stood proves that nothing was written. */
static skh_error_kind_t kind_of_failure(CURLcode code)
{
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
	    code == CURLE_URL_MALFORMAT)
		return SKH_STORE_UNAVAILABLE;
	return SKH_STORE_UNKNOWN;
}

static CURL *new_request(etcd_store_t *store, size_t endpoint, const char *path, const char *body,
			 struct curl_slist **headers)
{
	CURL *curl = curl_easy_init();
	g_autofree char *url = g_strconcat(store->endpoints[endpoint], path, NULL);

	*headers = curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, *headers);
	curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(store->timeout_ms / CONNECT_SHARE));
	return curl;
}

static CURLcode post_once(etcd_store_t *store, size_t endpoint, const char *path, const char *body,
			  skh_buffer_t *answer, long *status)
{
	struct curl_slist *headers;
	CURL *curl = new_request(store, endpoint, path, body, &headers);
	CURLcode code;

	skh_store_count_call();
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)store->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, skh_store_append_response);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return code;
}

/* Goes on to the next endpoint only when the call certainly had no effect. */
static json_t *post(etcd_store_t *store, const char *path, json_t *request, skh_error_t *err)
{
	char *body = json_dumps(request, JSON_COMPACT);
	skh_buffer_t answer = SKH_BUFFER_INIT;
	json_t *json = NULL;
	size_t first = (size_t)g_atomic_int_get(&store->preferred);

	for (size_t i = 0; i < store->n_endpoints; i++) {
		size_t endpoint = (first + i) % store->n_endpoints;
		long status = 0;
		CURLcode code;

		skh_buffer_clear(&answer);
		code = post_once(store, endpoint, path, body, &answer, &status);
		if (code == CURLE_OK && status == HTTP_OK) {
			json = json_loadb(skh_buffer_text(&answer), answer.len, 0, NULL);
			g_atomic_int_set(&store->preferred, (gint)endpoint);
		}
		if (json)
			break;
		(void)skh_error_set(
			err, code == CURLE_OK ? SKH_STORE_UNKNOWN : kind_of_failure(code),
			"key-value service: %s, status %ld", curl_easy_strerror(code), status);
		if (err->kind == SKH_STORE_UNKNOWN)
			break;
	}
	free(body);
	skh_buffer_free(&answer);
	json_decref(request);
	return json;
}

static void read_pair(const json_t *kv, skh_kv_pair_t *pair)
{
	pair->key = skh_store_decode_base64(json_string_value(json_object_get(kv, "key")));
	pair->value = skh_store_decode_base64(json_string_value(json_object_get(kv, "value")));
	pair->create_revision = integer_of(kv, "create_revision");
	pair->mod_revision = integer_of(kv, "mod_revision");
	pair->lease = integer_of(kv, "lease");
}

static void read_pairs(const json_t *kvs, skh_kv_pairs_t *pairs)
{
	size_t more = json_array_size(kvs);

	pairs->list = g_renew(skh_kv_pair_t, pairs->list, pairs->count + more);
	for (size_t i = 0; i < more; i++)
		read_pair(json_array_get(kvs, i), &pairs->list[pairs->count + i]);
	pairs->count += more;
}

static bool etcd_range(skh_store_t *base, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		       skh_error_t *err)
{
	json_t *request = json_object();
	json_t *answer;

	*pairs = (skh_kv_pairs_t){ 0 };
	set_encoded(request, "key", key);
	if (prefix) {
		g_autofree char *end = range_end(key);

		set_encoded(request, "range_end", end);
	}
	answer = post((etcd_store_t *)base, "/v3/kv/range", request, err);
	if (!answer)
		return false;
	pairs->store_revision = integer_of(json_object_get(answer, "header"), "revision");
	read_pairs(json_object_get(answer, "kvs"), pairs);
	json_decref(answer);
	return true;
}

static json_t *compare_to_json(const skh_txn_compare_t *compare)
{
	json_t *json = json_object();
	g_autofree char *revision = g_strdup_printf("%" G_GINT64_FORMAT, compare->mod_revision);

	set_encoded(json, "key", compare->key);
	json_object_set_new(json, "target", json_string("MOD"));
	json_object_set_new(json, "result", json_string("EQUAL"));
	json_object_set_new(json, "mod_revision", json_string(revision));
	return json;
}

static json_t *op_to_json(const skh_txn_op_t *op)
{
	static const char *const names[] = {
		[SKH_TXN_OP_PUT] = "request_put",
		[SKH_TXN_OP_DELETE] = "request_delete_range",
		[SKH_TXN_OP_READ] = "request_range",
	};
	json_t *json = json_object();
	json_t *inner = json_object();

	set_encoded(inner, "key", op->key);
	if (op->type == SKH_TXN_OP_PUT)
		set_encoded(inner, "value", op->value);
	if (op->lease != 0) {
		g_autofree char *lease = g_strdup_printf("%" G_GINT64_FORMAT, op->lease);

		json_object_set_new(inner, "lease", json_string(lease));
	}
	json_object_set_new(json, names[op->type], inner);
	return json;
}

static json_t *ops_to_json(const skh_txn_op_t *ops, size_t n_ops)
{
	json_t *list = json_array();

	for (size_t i = 0; i < n_ops; i++)
		json_array_append_new(list, op_to_json(&ops[i]));
	return list;
}

static bool etcd_txn(skh_store_t *base, const skh_txn_t *txn, skh_txn_result_t *result,
		     skh_error_t *err)
{
	json_t *request = json_object();
	json_t *compares = json_array();
	json_t *answer;
	json_t *response;
	size_t index;

	*result = (skh_txn_result_t){ 0 };
	for (size_t i = 0; i < txn->n_compares; i++)
		json_array_append_new(compares, compare_to_json(&txn->compares[i]));
	json_object_set_new(request, "compare", compares);
	json_object_set_new(request, "success", ops_to_json(txn->ops, txn->n_ops));
	json_object_set_new(request, "failure", ops_to_json(txn->else_ops, txn->n_else_ops));
	answer = post((etcd_store_t *)base, "/v3/kv/txn", request, err);
	if (!answer)
		return false;
	result->succeeded = json_is_true(json_object_get(answer, "succeeded"));
	result->pairs.store_revision = integer_of(json_object_get(answer, "header"), "revision");
	json_array_foreach(json_object_get(answer, "responses"), index, response)
		read_pairs(json_object_get(json_object_get(response, "response_range"), "kvs"),
			   &result->pairs);
	json_decref(answer);
	return true;
}

static bool etcd_lease_grant(skh_store_t *base, int64_t ttl_s, int64_t *lease, skh_error_t *err)
{
	json_t *request = json_object();
	json_t *answer;

	json_object_set_new(request, "TTL", json_integer(ttl_s));
	json_object_set_new(request, "ID", json_integer(0));
	answer = post((etcd_store_t *)base, "/v3/lease/grant", request, err);
	if (!answer)
		return false;
	*lease = integer_of(answer, "ID");
	json_decref(answer);
	return true;
}

static bool etcd_lease_keep(skh_store_t *base, int64_t lease, int64_t *ttl_s, skh_error_t *err)
{
	json_t *request = json_object();
	g_autofree char *id = g_strdup_printf("%" G_GINT64_FORMAT, lease);
	json_t *answer;

	json_object_set_new(request, "ID", json_string(id));
	answer = post((etcd_store_t *)base, "/v3/lease/keepalive", request, err);
	if (!answer)
		return false;
	*ttl_s = integer_of(json_object_get(answer, "result"), "TTL");
	json_decref(answer);
	return true;
}

typedef struct watching {
	skh_buffer_t line;
	skh_watch_fn fn;
	void *context;
	bool ended;
} watching_t;

static void deliver_event(watching_t *watching, const json_t *event)
{
	const json_t *kv = json_object_get(event, "kv");
	const char *type = json_string_value(json_object_get(event, "type"));
	bool deleted = type && strcmp(type, "DELETE") == 0;
	skh_kv_pair_t pair;

	read_pair(kv, &pair);
	if (!watching->fn(watching->context, pair.key, deleted ? NULL : pair.value,
			  pair.mod_revision))
		watching->ended = true;
	g_free(pair.key);
	g_free(pair.value);
}

static void deliver_line(watching_t *watching, const char *line, size_t len)
{
	json_t *json = json_loadb(line, len, 0, NULL);
	json_t *result = json_object_get(json, "result");
	json_t *event;
	size_t index;

	if (json_is_true(json_object_get(result, "canceled")))
		watching->ended = true;
	json_array_foreach(json_object_get(result, "events"), index, event)
		deliver_event(watching, event);
	json_decref(json);
}

static size_t take_watch_bytes(char *data, size_t size, size_t n, void *context)
{
	watching_t *watching = context;
	char *end;

	skh_buffer_append(&watching->line, skh_chunk_make(data, size * n));
	if (watching->line.len > SKH_STORE_MAX_RESPONSE_BYTES)
		return 0;
	while (watching->line.len > 0 &&
	       (end = memchr(watching->line.data, '\n', watching->line.len)) != NULL) {
		size_t len = (size_t)(end - (char *)watching->line.data);

		deliver_line(watching, (const char *)watching->line.data, len);
		skh_buffer_consume(&watching->line, len + 1);
	}
	return watching->ended ? 0 : size * n;
}

/* Runs until the connection ends, the callback ends the watch or *@stop is set. */
static CURLcode run_watch(CURL *curl, const bool *stop)
{
	CURLM *multi = curl_multi_init();
	CURLcode code = CURLE_OK;
	int running = 1;

	curl_multi_add_handle(multi, curl);
	while (running > 0 && !__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		CURLMsg *message;
		int left;

		(void)curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &left)) != NULL)
			code = message->data.result;
		if (running > 0)
			(void)curl_multi_poll(multi, NULL, 0, WATCH_POLL_MS, NULL);
	}
	curl_multi_remove_handle(multi, curl);
	curl_multi_cleanup(multi);
	return code;
}

static char *watch_request(const char *prefix, int64_t from_revision)
{
	json_t *request = json_object();
	json_t *create = json_object();
	g_autofree char *end = range_end(prefix);
	g_autofree char *revision = g_strdup_printf("%" G_GINT64_FORMAT, from_revision);
	char *dump;
	char *body;

	set_encoded(create, "key", prefix);
	set_encoded(create, "range_end", end);
	json_object_set_new(create, "start_revision", json_string(revision));
	json_object_set_new(request, "create_request", create);
	dump = json_dumps(request, JSON_COMPACT);
	body = g_strdup(dump);
	free(dump);
	json_decref(request);
	return body;
}

static bool etcd_watch(skh_store_t *base, const char *prefix, int64_t from_revision,
		       skh_watch_fn fn, void *context, const bool *stop, skh_error_t *err)
{
	etcd_store_t *store = (etcd_store_t *)base;
	watching_t watching = { SKH_BUFFER_INIT, fn, context, false };
	g_autofree char *body = watch_request(prefix, from_revision);
	size_t endpoint = (size_t)g_atomic_int_get(&store->preferred);
	struct curl_slist *headers;
	CURL *curl = new_request(store, endpoint, "/v3/watch", body, &headers);
	CURLcode code;

	skh_store_count_call();
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_watch_bytes);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &watching);
	/* A frozen service is noticed by its silence to keep-alive probes. */
	curl_easy_setopt(curl, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(curl, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	curl_easy_setopt(curl, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	code = run_watch(curl, stop);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	skh_buffer_free(&watching.line);
	if (watching.ended)
		return true;
	if (code != CURLE_OK)
		g_atomic_int_set(&store->preferred, (gint)((endpoint + 1) % store->n_endpoints));
	return skh_error_set(err, SKH_STORE_UNAVAILABLE, "watch ended: %s",
			     curl_easy_strerror(code));
}

static void etcd_close(skh_store_t *base)
{
	etcd_store_t *store = (etcd_store_t *)base;

	g_strfreev(store->endpoints);
	g_free(store);
}

static const skh_store_ops_t etcd_ops = {
	.range = etcd_range,
	.txn = etcd_txn,
	.lease_grant = etcd_lease_grant,
	.lease_renew = etcd_lease_keep,
	.watch = etcd_watch,
	.close = etcd_close,
};

skh_store_t *skh_store_open_etcd(const char *const *endpoints, int64_t timeout_ms)
{
	etcd_store_t *store = g_new0(etcd_store_t, 1);

	store->base.ops = &etcd_ops;
	store->endpoints = g_strdupv((char **)endpoints);
	store->n_endpoints = g_strv_length(store->endpoints);
	store->timeout_ms = timeout_ms;
	return &store->base;
}
