/* Store that uses the JSON gateway of etcd v3: POST /v3/..., keys and values in base64. */
#include "store.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#define CONNECT_TIMEOUT_DIVISOR 4 /* the connect timeout is a quarter of the call's timeout */
#define HTTP_OK			200
#define WATCH_POLL_MS		100
#define KEEPALIVE_S		10L

typedef struct etcd_store {
	skh_store_t base;
	char **endpoints;
	size_t n_endpoints;
	/*
	 * Index of the endpoint to try first: the last one that responded, or the next
	 * one after a failed watch. Atomic.
	 */
	gint preferred;
	int64_t timeout_ms;
} etcd_store_t;

static char *encode_base64(const char *text)
{
	return g_base64_encode((const guchar *)text, strlen(text));
}

/* etcd's JSON gateway encodes 64-bit integers as strings. */
static int64_t get_integer(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return g_ascii_strtoll(json_string_value(value), NULL, 10);
	return json_integer_value(value);
}

/* Exclusive end of the range of keys that start with @prefix: @prefix with its last byte plus one. */
static char *range_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	size_t len = strlen(end);

	if (len > 0)
		end[len - 1]++;
	return end;
}

static void set_base64(json_t *object, const char *key, const char *text)
{
	g_autofree char *encoded = encode_base64(text);

	json_object_set_new(object, key, json_string(encoded));
}

/* Only a failure to connect proves that the store did not receive the call. */
static skh_error_kind_t error_kind_from_curl(CURLcode code)
{
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
	    code == CURLE_URL_MALFORMAT)
		return SKH_STORE_UNAVAILABLE;
	return SKH_STORE_UNKNOWN;
}

static CURL *new_curl_handle(etcd_store_t *store, size_t endpoint, const char *path,
			     const char *body, struct curl_slist **headers)
{
	CURL *curl = curl_easy_init();
	g_autofree char *url = g_strconcat(store->endpoints[endpoint], path, NULL);

	*headers = curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, *headers);
	curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(store->timeout_ms / CONNECT_TIMEOUT_DIVISOR));
	return curl;
}

static CURLcode post_once(etcd_store_t *store, size_t endpoint, const char *path, const char *body,
			  skh_buffer_t *response, long *status)
{
	struct curl_slist *headers;
	CURL *curl = new_curl_handle(store, endpoint, path, body, &headers);
	CURLcode code;

	skh_store_record_call();
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)store->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, skh_store_append_response);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return code;
}

/*
 * Sends a call and consumes @request. Tries the next endpoint only after a failure
 * that certainly had no effect, because a second call could apply a write twice.
 */
static json_t *post(etcd_store_t *store, const char *path, json_t *request, skh_error_t *err)
{
	char *body = json_dumps(request, JSON_COMPACT);
	skh_buffer_t response = SKH_BUFFER_INIT;
	json_t *json = NULL;
	size_t first_endpoint = (size_t)g_atomic_int_get(&store->preferred);

	for (size_t i = 0; i < store->n_endpoints; i++) {
		size_t endpoint = (first_endpoint + i) % store->n_endpoints;
		long status = 0;
		CURLcode code;

		skh_buffer_clear(&response);
		code = post_once(store, endpoint, path, body, &response, &status);
		if (code == CURLE_OK && status == HTTP_OK) {
			json = json_loadb(skh_buffer_text(&response), response.len, 0, NULL);
			g_atomic_int_set(&store->preferred, (gint)endpoint);
		}
		if (json)
			break;
		(void)skh_error_set(
			err, code == CURLE_OK ? SKH_STORE_UNKNOWN : error_kind_from_curl(code),
			"key-value service: %s, status %ld", curl_easy_strerror(code), status);
		if (err->kind == SKH_STORE_UNKNOWN)
			break;
	}
	free(body);
	skh_buffer_free(&response);
	json_decref(request);
	return json;
}

static void read_pair(const json_t *kv, skh_kv_pair_t *pair)
{
	pair->key = skh_store_decode_base64(json_string_value(json_object_get(kv, "key")));
	pair->value = skh_store_decode_base64(json_string_value(json_object_get(kv, "value")));
	pair->create_revision = get_integer(kv, "create_revision");
	pair->mod_revision = get_integer(kv, "mod_revision");
	pair->lease = get_integer(kv, "lease");
}

static void read_pairs(const json_t *kvs, skh_kv_pairs_t *pairs)
{
	size_t n_new = json_array_size(kvs);

	pairs->list = g_renew(skh_kv_pair_t, pairs->list, pairs->count + n_new);
	for (size_t i = 0; i < n_new; i++)
		read_pair(json_array_get(kvs, i), &pairs->list[pairs->count + i]);
	pairs->count += n_new;
}

static bool etcd_range(skh_store_t *base, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		       skh_error_t *err)
{
	json_t *request = json_object();
	json_t *response;

	*pairs = (skh_kv_pairs_t){ 0 };
	set_base64(request, "key", key);
	if (prefix) {
		g_autofree char *end = range_end(key);

		set_base64(request, "range_end", end);
	}
	response = post((etcd_store_t *)base, "/v3/kv/range", request, err);
	if (!response)
		return false;
	pairs->store_revision = get_integer(json_object_get(response, "header"), "revision");
	read_pairs(json_object_get(response, "kvs"), pairs);
	json_decref(response);
	return true;
}

static json_t *compare_to_json(const skh_txn_compare_t *compare)
{
	json_t *json = json_object();
	g_autofree char *revision = g_strdup_printf("%" G_GINT64_FORMAT, compare->mod_revision);

	set_base64(json, "key", compare->key);
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

	set_base64(inner, "key", op->key);
	if (op->type == SKH_TXN_OP_PUT)
		set_base64(inner, "value", op->value);
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
	json_t *response;
	json_t *op_response;
	size_t index;

	*result = (skh_txn_result_t){ 0 };
	for (size_t i = 0; i < txn->n_compares; i++)
		json_array_append_new(compares, compare_to_json(&txn->compares[i]));
	json_object_set_new(request, "compare", compares);
	json_object_set_new(request, "success", ops_to_json(txn->ops, txn->n_ops));
	json_object_set_new(request, "failure", ops_to_json(txn->else_ops, txn->n_else_ops));
	response = post((etcd_store_t *)base, "/v3/kv/txn", request, err);
	if (!response)
		return false;
	result->succeeded = json_is_true(json_object_get(response, "succeeded"));
	result->pairs.store_revision = get_integer(json_object_get(response, "header"), "revision");
	json_array_foreach(json_object_get(response, "responses"), index, op_response)
		read_pairs(json_object_get(json_object_get(op_response, "response_range"), "kvs"),
			   &result->pairs);
	json_decref(response);
	return true;
}

static bool etcd_lease_grant(skh_store_t *base, int64_t ttl_s, int64_t *lease, skh_error_t *err)
{
	json_t *request = json_object();
	json_t *response;

	json_object_set_new(request, "TTL", json_integer(ttl_s));
	json_object_set_new(request, "ID", json_integer(0));
	response = post((etcd_store_t *)base, "/v3/lease/grant", request, err);
	if (!response)
		return false;
	*lease = get_integer(response, "ID");
	json_decref(response);
	return true;
}

static bool etcd_lease_renew(skh_store_t *base, int64_t lease, int64_t *ttl_s, skh_error_t *err)
{
	json_t *request = json_object();
	g_autofree char *id = g_strdup_printf("%" G_GINT64_FORMAT, lease);
	json_t *response;

	json_object_set_new(request, "ID", json_string(id));
	response = post((etcd_store_t *)base, "/v3/lease/keepalive", request, err);
	if (!response)
		return false;
	*ttl_s = get_integer(json_object_get(response, "result"), "TTL");
	json_decref(response);
	return true;
}

typedef struct watch_stream {
	skh_buffer_t line;
	skh_watch_fn fn;
	void *context;
	bool has_ended;
} watch_stream_t;

static void handle_event(watch_stream_t *stream, const json_t *event)
{
	const json_t *kv = json_object_get(event, "kv");
	const char *type = json_string_value(json_object_get(event, "type"));
	bool deleted = type && strcmp(type, "DELETE") == 0;
	skh_kv_pair_t pair;

	read_pair(kv, &pair);
	if (!stream->fn(stream->context, pair.key, deleted ? NULL : pair.value, pair.mod_revision))
		stream->has_ended = true;
	g_free(pair.key);
	g_free(pair.value);
}

static void handle_line(watch_stream_t *stream, const char *line, size_t len)
{
	json_t *json = json_loadb(line, len, 0, NULL);
	json_t *result = json_object_get(json, "result");
	json_t *event;
	size_t index;

	if (json_is_true(json_object_get(result, "canceled")))
		stream->has_ended = true;
	json_array_foreach(json_object_get(result, "events"), index, event)
		handle_event(stream, event);
	json_decref(json);
}

static size_t on_watch_bytes(char *data, size_t size, size_t n, void *context)
{
	watch_stream_t *stream = context;
	char *end;

	skh_buffer_append(&stream->line, skh_chunk_make(data, size * n));
	if (stream->line.len > SKH_STORE_MAX_RESPONSE_BYTES)
		return 0;
	while (stream->line.len > 0 &&
	       (end = memchr(stream->line.data, '\n', stream->line.len)) != NULL) {
		size_t len = (size_t)(end - (char *)stream->line.data);

		handle_line(stream, (const char *)stream->line.data, len);
		skh_buffer_consume(&stream->line, len + 1);
	}
	return stream->has_ended ? 0 : size * n;
}

/* Runs until the connection closes, the callback ends the watch or *@stop is set. */
static CURLcode run_watch(CURL *curl, const bool *stop)
{
	CURLM *multi = curl_multi_init();
	CURLcode code = CURLE_OK;
	int running = 1;

	curl_multi_add_handle(multi, curl);
	while (running > 0 && !__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		CURLMsg *message;
		int n_remaining;

		(void)curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &n_remaining)) != NULL)
			code = message->data.result;
		if (running > 0)
			(void)curl_multi_poll(multi, NULL, 0, WATCH_POLL_MS, NULL);
	}
	curl_multi_remove_handle(multi, curl);
	curl_multi_cleanup(multi);
	return code;
}

static char *new_watch_body(const char *prefix, int64_t from_revision)
{
	json_t *request = json_object();
	json_t *create = json_object();
	g_autofree char *end = range_end(prefix);
	g_autofree char *revision = g_strdup_printf("%" G_GINT64_FORMAT, from_revision);
	char *encoded;
	char *body;

	set_base64(create, "key", prefix);
	set_base64(create, "range_end", end);
	json_object_set_new(create, "start_revision", json_string(revision));
	json_object_set_new(request, "create_request", create);
	encoded = json_dumps(request, JSON_COMPACT);
	body = g_strdup(encoded);
	free(encoded);
	json_decref(request);
	return body;
}

static bool etcd_watch(skh_store_t *base, const char *prefix, int64_t from_revision,
		       skh_watch_fn fn, void *context, const bool *stop, skh_error_t *err)
{
	etcd_store_t *store = (etcd_store_t *)base;
	watch_stream_t stream = { SKH_BUFFER_INIT, fn, context, false };
	g_autofree char *body = new_watch_body(prefix, from_revision);
	size_t endpoint = (size_t)g_atomic_int_get(&store->preferred);
	struct curl_slist *headers;
	CURL *curl = new_curl_handle(store, endpoint, "/v3/watch", body, &headers);
	CURLcode code;

	skh_store_record_call();
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_watch_bytes);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &stream);
	/* TCP keep-alive probes detect a store that no longer responds. */
	curl_easy_setopt(curl, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(curl, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	curl_easy_setopt(curl, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	code = run_watch(curl, stop);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	skh_buffer_free(&stream.line);
	if (stream.has_ended)
		return true;
	if (code != CURLE_OK)
		g_atomic_int_set(&store->preferred, (gint)((endpoint + 1) % store->n_endpoints));
	return skh_error_set(err, SKH_STORE_UNAVAILABLE, "key-value service: watch ended: %s",
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
	.lease_renew = etcd_lease_renew,
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
