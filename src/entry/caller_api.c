#include "caller_api.h"

#include "claim.h"
#include "clock.h"
#include "decisions.h"
#include "log.h"
#include "metrics.h"
#include "serve.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define PART		     "caller"
#define BEARER		     "Bearer "
#define SERVICES_PREFIX	     "/services/"
#define JSON_TYPE	     "application/json"
#define DEFAULT_TIMEOUT_MS   60000
#define PREFIX_HASH_BYTES    1024
#define HTTP_OK		     200
#define UNAVAILABLE_RETRY_US (1 * SKH_US_PER_S)

/* A caller's request and what its checks have established so far. */
typedef struct caller_request {
	skh_entry_t *entry;
	skh_http_request_t *http;
	const skh_config_t *config;
	const skh_customer_t *customer;
	const skh_priority_t *priority;
	const skh_service_t *service;
	skh_buffer_t body;
	char request_id[40];
	int64_t accepted_at_us;
	int64_t deadline_us;
	const char *backend_path;    /* path and query sent to the backend server */
	const char *idempotency_key; /* "" for none */
	bool is_streaming;
	uint64_t prefix_hash;
} caller_request_t;

typedef bool (*route_handler_fn)(caller_request_t *request, skh_error_t *err);

typedef struct caller_route {
	const char *method; /* NULL for any */
	const char *path;
	bool is_prefix; /* @path matches every path that starts with it */
	route_handler_fn handle;
} caller_route_t;

/* Response sink that writes to the caller's HTTP connection. */
typedef struct http_sink {
	skh_response_sink_t base;
	skh_http_request_t *http;
	bool has_begun;
} http_sink_t;

static bool sink_begin(skh_response_sink_t *base, int32_t status, const char *content_type)
{
	http_sink_t *sink = (http_sink_t *)base;

	sink->has_begun = true;
	return skh_http_stream_begin(sink->http, status, content_type);
}

static bool sink_write(skh_response_sink_t *base, skh_chunk_t bytes)
{
	return skh_http_stream_write(((http_sink_t *)base)->http, bytes);
}

static bool sink_end(skh_response_sink_t *base)
{
	return skh_http_stream_end(((http_sink_t *)base)->http);
}

static bool sink_send_complete(skh_response_sink_t *base, int32_t status, const char *content_type,
			       skh_chunk_t body, bool replayed)
{
	http_sink_t *sink = (http_sink_t *)base;

	if (replayed)
		skh_http_add_header(sink->http, "Idempotent-Replayed", "true");
	return skh_http_respond(sink->http, status, content_type, body);
}

static void sink_fail(skh_response_sink_t *base, const skh_error_t *err)
{
	http_sink_t *sink = (http_sink_t *)base;
	skh_buffer_t event = SKH_BUFFER_INIT;

	if (!sink->has_begun) {
		skh_http_respond_problem(sink->http, err);
		return;
	}
	skh_buffer_append_string(&event, "event: error\ndata: ");
	skh_http_append_problem(err, &event);
	skh_buffer_append_string(&event, "\n\n");
	(void)skh_http_stream_write(sink->http, skh_buffer_chunk(&event));
	skh_http_stream_abort(sink->http);
	skh_buffer_free(&event);
}

static const skh_response_sink_ops_t http_sink_ops = {
	.begin = sink_begin,
	.write = sink_write,
	.end = sink_end,
	.send_complete = sink_send_complete,
	.fail = sink_fail,
};

static bool check_lifecycle(caller_request_t *request, skh_error_t *err)
{
	skh_lifecycle_t lifecycle = skh_board_get_lifecycle(request->entry->board);

	if (lifecycle.state != SKH_LIFECYCLE_STOPPING && request->config)
		return true;
	(void)skh_error_set(err, SKH_NOT_READY, "%s",
			    request->config ? "this entry is shutting down"
					    : "no configuration is in force yet");
	err->retry_at_us = request->accepted_at_us + UNAVAILABLE_RETRY_US;
	skh_http_disable_keep_alive(request->http);
	return false;
}

static bool authenticate(caller_request_t *request, skh_error_t *err)
{
	const char *header = skh_http_header(request->http, "Authorization");
	const skh_manifest_t *manifest = request->config->manifest;

	if (!header || !g_str_has_prefix(header, BEARER))
		return skh_error_set(err, SKH_UNAUTHORIZED, "a bearer key is needed");
	request->customer = skh_manifest_customer_by_key(manifest, header + strlen(BEARER));
	if (!request->customer)
		return skh_error_set(err, SKH_UNAUTHORIZED, "the bearer key is not known");
	request->priority = skh_manifest_priority(manifest, request->customer->priority);
	return true;
}

/*
 * A request can ask for a less urgent priority than its customer's, but not for a more urgent one;
 * level 0 is the most urgent.
 */
static bool read_priority(caller_request_t *request, skh_error_t *err)
{
	const char *name = skh_http_header(request->http, "X-Priority");
	const skh_priority_t *requested;

	if (!name)
		return true;
	requested = skh_manifest_priority(request->config->manifest, name);
	if (!requested)
		return skh_error_set(err, SKH_BAD_REQUEST, "no priority is called \"%.64s\"", name);
	if (requested->level < request->priority->level)
		return skh_error_set(err, SKH_FORBIDDEN,
				     "the customer is not allowed to use priority \"%s\"",
				     requested->name);
	request->priority = requested;
	return true;
}

static bool read_deadline(caller_request_t *request, skh_error_t *err)
{
	const char *text = skh_http_header(request->http, "X-Deadline-Ms");
	int64_t timeout_ms = MIN(DEFAULT_TIMEOUT_MS, request->service->max_deadline_ms);
	char *end = NULL;

	if (text) {
		timeout_ms = g_ascii_strtoll(text, &end, 10);
		if (end == text || *end != '\0' || timeout_ms <= 0)
			return skh_error_set(err, SKH_BAD_REQUEST,
					     "X-Deadline-Ms is not a number of milliseconds");
		timeout_ms = MIN(timeout_ms, request->service->max_deadline_ms);
	}
	request->deadline_us = request->accepted_at_us + timeout_ms * SKH_US_PER_MS;
	return true;
}

/*
 * The key prevents a second execution of a request that is not idempotent. For an
 * idempotent request it has no effect and is ignored, even when malformed.
 */
static bool read_idempotency_key(caller_request_t *request, skh_error_t *err)
{
	const char *key = skh_http_header(request->http, "Idempotency-Key");

	request->idempotency_key = "";
	if (!key || skh_service_is_idempotent(request->service, skh_http_method(request->http)))
		return true;
	request->idempotency_key = key;
	return skh_claim_check_key(key, skh_clock_unix_ms(), err);
}

static bool check_access_and_options(caller_request_t *request, skh_error_t *err)
{
	if (!skh_customer_can_use(request->customer, request->service->name))
		return skh_error_set(err, SKH_FORBIDDEN,
				     "the customer is not allowed to use service \"%s\"",
				     request->service->name);
	return read_priority(request, err) && read_deadline(request, err) &&
	       read_idempotency_key(request, err);
}

static bool acquire_admission(caller_request_t *request, skh_error_t *err)
{
	skh_entry_t *entry = request->entry;
	const skh_instances_t *instances = skh_board_acquire_instances(entry->board);
	size_t entry_count = instances ? skh_instances_count_role(instances, "entry") : 1;
	bool is_admitted;

	skh_board_release(instances);
	g_mutex_lock(&entry->admission_lock);
	is_admitted = skh_admission_acquire(entry->admission, request->customer,
					    MAX(entry_count, 1), skh_clock_now_us(), err);
	g_mutex_unlock(&entry->admission_lock);
	return is_admitted;
}

static void release_admission(caller_request_t *request)
{
	skh_entry_t *entry = request->entry;

	g_mutex_lock(&entry->admission_lock);
	skh_admission_release(entry->admission, request->customer->name);
	g_mutex_unlock(&entry->admission_lock);
}

static bool admit_and_serve(caller_request_t *request, skh_error_t *err)
{
	http_sink_t sink = { { &http_sink_ops }, request->http, false };
	const char *content_type = skh_http_header(request->http, "Content-Type");
	const char *method = skh_http_method(request->http);
	skh_error_t result;
	skh_entry_request_t entry_request = {
		.request_id = request->request_id,
		.customer = request->customer->name,
		.priority_name = request->priority->name,
		.priority = (uint32_t)request->priority->level,
		.weight = request->customer->weight,
		.service = request->service->name,
		.failure_domain = request->entry->settings->failure_domain,
		.method = method,
		.path = request->backend_path,
		.content_type = content_type ? content_type : JSON_TYPE,
		.body = skh_buffer_chunk(&request->body),
		.is_streaming = request->is_streaming,
		.is_idempotent = skh_service_is_idempotent(request->service, method),
		.idempotency_key = request->idempotency_key,
		.prefix_hash = request->prefix_hash,
		.board = request->entry->board,
		.received_us = request->accepted_at_us,
		.deadline_us = request->deadline_us,
	};

	if (!acquire_admission(request, err))
		return false;
	(void)skh_serve_request(request->entry->link, request->entry->quarantine, &entry_request,
				&sink.base, &result);
	release_admission(request);
	return true;
}

/*
 * Hashes the first bytes of the body: they hold the start of the prompt, which requests
 * with a shared prefix have in common. Bit 0 is set because 0 means no affinity.
 */
static uint64_t hash_prefix(const caller_request_t *request)
{
	skh_chunk_t head = skh_buffer_chunk(&request->body);

	head.len = MIN(head.len, PREFIX_HASH_BYTES);
	return skh_chunk_hash(head, 0) | 1;
}

static bool read_completion(caller_request_t *request, skh_error_t *err)
{
	json_error_t json_error;
	json_t *json = json_loadb(skh_buffer_text(&request->body), request->body.len,
				  JSON_REJECT_DUPLICATES, &json_error);
	const char *model = json_string_value(json_object_get(json, "model"));
	const json_t *stream = json_object_get(json, "stream");

	if (!json)
		return skh_error_set(err, SKH_BAD_REQUEST, "the body is not JSON: %s",
				     json_error.text);
	if (!model || (stream && !json_is_boolean(stream))) {
		json_decref(json);
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "\"model\" must be a text and \"stream\" a boolean");
	}
	request->is_streaming = json_is_true(stream);
	request->service = skh_manifest_service_for_model(request->config->manifest, model);
	if (!request->service)
		(void)skh_error_set(err, SKH_NOT_FOUND, "no model is called \"%.64s\"", model);
	json_decref(json);
	return request->service != NULL;
}

static bool handle_completion(caller_request_t *request, skh_error_t *err)
{
	if (!skh_http_read_body(request->http, &request->body, err) ||
	    !read_completion(request, err))
		return false;
	request->backend_path = skh_http_path(request->http);
	request->prefix_hash = hash_prefix(request);
	return check_access_and_options(request, err) && admit_and_serve(request, err);
}

static bool handle_models(caller_request_t *request, skh_error_t *err)
{
	const skh_manifest_t *manifest = request->config->manifest;
	json_t *data = json_array();
	json_t *response = json_pack("{s:s, s:o}", "object", "list", "data", data);
	char *text;

	(void)err;
	for (size_t i = 0; i < skh_manifest_count_services(manifest); i++) {
		const skh_service_t *service = skh_manifest_service_at(manifest, i);

		if (service->kind == SKH_SERVICE_MODEL &&
		    skh_customer_can_use(request->customer, service->name))
			json_array_append_new(data, json_pack("{s:s, s:s, s:s}", "id",
							      service->model, "object", "model",
							      "owned_by", service->owner));
	}
	text = json_dumps(response, JSON_COMPACT);
	(void)skh_http_respond(request->http, HTTP_OK, JSON_TYPE, skh_chunk_from_string(text));
	free(text);
	json_decref(response);
	return true;
}

/* Forwards /services/NAME/rest to a backend server of service NAME as /rest. */
static bool handle_plain_service(caller_request_t *request, skh_error_t *err)
{
	const char *rest = skh_http_path(request->http) + strlen(SERVICES_PREFIX);
	const char *slash = strchr(rest, '/');
	g_autofree char *name = slash ? g_strndup(rest, (gsize)(slash - rest)) : g_strdup(rest);
	const char *query = skh_http_query(request->http);
	g_autofree char *path = NULL;

	request->service = skh_manifest_service(request->config->manifest, name);
	if (!request->service || request->service->kind != SKH_SERVICE_PLAIN)
		return skh_error_set(err, SKH_NOT_FOUND, "no plain service is called \"%.64s\"",
				     name);
	path = g_strconcat(slash ? slash : "/", *query ? "?" : "", query, NULL);
	request->backend_path = path;
	return skh_http_read_body(request->http, &request->body, err) &&
	       check_access_and_options(request, err) && admit_and_serve(request, err);
}

static const caller_route_t routes[] = {
	{ "POST", "/v1/chat/completions", false, handle_completion },
	{ "POST", "/v1/completions", false, handle_completion },
	{ "GET", "/v1/models", false, handle_models },
	{ NULL, SERVICES_PREFIX, true, handle_plain_service },
};

static const caller_route_t *find_route(const skh_http_request_t *http, skh_error_t *err)
{
	const char *path = skh_http_path(http);
	bool is_path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		bool matches = routes[i].is_prefix ? g_str_has_prefix(path, routes[i].path)
						   : strcmp(path, routes[i].path) == 0;

		if (!matches)
			continue;
		is_path_known = true;
		if (!routes[i].method || strcmp(routes[i].method, skh_http_method(http)) == 0)
			return &routes[i];
	}
	(void)skh_error_set(err, is_path_known ? SKH_METHOD_NOT_ALLOWED : SKH_NOT_FOUND,
			    is_path_known ? "the method is not allowed here" : "no such path");
	return NULL;
}

static bool handle_request(caller_request_t *request, skh_error_t *err)
{
	const caller_route_t *route = find_route(request->http, err);

	return route && check_lifecycle(request, err) && authenticate(request, err) &&
	       route->handle(request, err);
}

void skh_caller_api_handle(void *context, skh_http_request_t *http)
{
	skh_entry_t *entry = context;
	caller_request_t request = { .entry = entry, .http = http, .body = SKH_BUFFER_INIT };
	skh_error_t err;

	g_atomic_int_inc(&entry->in_flight);
	skh_metrics_add(SKH_COUNT_REQUESTS, 1);
	request.accepted_at_us = skh_clock_now_us();
	request.config = skh_board_acquire_config(entry->board);
	(void)g_snprintf(request.request_id, sizeof(request.request_id), "%016" PRIx64,
			 skh_random_u64());
	skh_http_add_header(http, "X-Request-Id", request.request_id);
	if (!handle_request(&request, &err)) {
		skh_metrics_add(SKH_COUNT_REFUSED, 1);
		skh_decisions_record(request.request_id,
				     request.customer ? request.customer->name : "",
				     request.service ? request.service->name : "", NULL, 0, &err);
		skh_log(SKH_LOG_DEBUG, PART, "Request rejected.", "request=%s kind=%s reason=%s",
			request.request_id, skh_error_kind_name(err.kind), err.text);
		skh_http_respond_problem(http, &err);
	}
	skh_board_release(request.config);
	skh_buffer_free(&request.body);
	(void)g_atomic_int_dec_and_test(&entry->in_flight);
}
