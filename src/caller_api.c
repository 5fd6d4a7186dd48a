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

#define PART		    "caller"
#define BEARER		    "Bearer "
#define SERVICES_PREFIX	    "/services/"
#define JSON_TYPE	    "application/json"
#define DEFAULT_DEADLINE_MS 60000
#define AFFINITY_BYTES	    1024
#define HTTP_OK		    200
#define STOP_RETRY_US	    (1 * SKH_US_PER_S)

/* One request on its way through the checks. */
typedef struct intake {
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
	const char *path; /* at the backend server */
	const char *key;  /* idempotency key, "" for none */
	bool stream;
	uint64_t prefix_hash;
} intake_t;

typedef bool (*route_fn)(intake_t *intake, skh_error_t *err);

typedef struct caller_route {
	const char *method; /* NULL for any */
	const char *path;
	bool prefix;
	route_fn handle;
} caller_route_t;

/* The sink that writes an answer to the caller's connection. */
typedef struct http_sink {
	skh_response_sink_t base;
	skh_http_request_t *http;
	bool begun;
} http_sink_t;

static bool sink_begin(skh_response_sink_t *base, int32_t status, const char *content_type)
{
	http_sink_t *sink = (http_sink_t *)base;

	sink->begun = true;
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

static bool sink_whole(skh_response_sink_t *base, int32_t status, const char *content_type,
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

	if (!sink->begun) {
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
	.send_complete = sink_whole,
	.fail = sink_fail,
};

static bool check_life(intake_t *intake, skh_error_t *err)
{
	skh_lifecycle_t self = skh_board_get_lifecycle(intake->entry->board);

	if (self.state != SKH_LIFECYCLE_STOPPING && intake->config)
		return true;
	(void)skh_error_set(err, SKH_NOT_READY, "%s",
			    intake->config ? "this entry is stopping"
					   : "no configuration is in force yet");
	err->retry_at_us = intake->accepted_at_us + STOP_RETRY_US;
	skh_http_disable_keep_alive(intake->http);
	return false;
}

static bool authenticate(intake_t *intake, skh_error_t *err)
{
	const char *header = skh_http_header(intake->http, "Authorization");
	const skh_manifest_t *manifest = intake->config->manifest;

	if (!header || !g_str_has_prefix(header, BEARER))
		return skh_error_set(err, SKH_UNAUTHORIZED, "a bearer key is needed");
	intake->customer = skh_manifest_customer_by_key(manifest, header + strlen(BEARER));
	if (!intake->customer)
		return skh_error_set(err, SKH_UNAUTHORIZED, "the bearer key is not known");
	intake->priority = skh_manifest_priority(manifest, intake->customer->priority);
	return true;
}

/* A caller may lower its own priority for a request, never raise it. */
static bool read_priority(intake_t *intake, skh_error_t *err)
{
	const char *name = skh_http_header(intake->http, "X-Priority");
	const skh_priority_t *asked;

	if (!name)
		return true;
	asked = skh_manifest_priority(intake->config->manifest, name);
	if (!asked)
		return skh_error_set(err, SKH_BAD_REQUEST, "no priority is called \"%.64s\"", name);
	if (asked->level < intake->priority->level)
		return skh_error_set(err, SKH_FORBIDDEN, "the customer may not use priority \"%s\"",
				     asked->name);
	intake->priority = asked;
	return true;
}

static bool read_deadline(intake_t *intake, skh_error_t *err)
{
	const char *text = skh_http_header(intake->http, "X-Deadline-Ms");
	int64_t budget_ms = MIN(DEFAULT_DEADLINE_MS, intake->service->max_deadline_ms);
	char *end = NULL;

	if (text) {
		budget_ms = g_ascii_strtoll(text, &end, 10);
		if (end == text || *end != '\0' || budget_ms <= 0)
			return skh_error_set(err, SKH_BAD_REQUEST,
					     "X-Deadline-Ms is not a number of milliseconds");
		budget_ms = MIN(budget_ms, intake->service->max_deadline_ms);
	}
	intake->deadline_us = intake->accepted_at_us + budget_ms * SKH_US_PER_MS;
	return true;
}

/* A key protects work that may not be repeated; elsewhere it changes nothing. */
static bool read_key(intake_t *intake, skh_error_t *err)
{
	const char *key = skh_http_header(intake->http, "Idempotency-Key");

	intake->key = "";
	if (!key || skh_service_is_idempotent(intake->service, skh_http_method(intake->http)))
		return true;
	intake->key = key;
	return skh_claim_check_key(key, skh_clock_unix_ms(), err);
}

static bool check_service(intake_t *intake, skh_error_t *err)
{
	if (!skh_customer_can_use(intake->customer, intake->service->name))
		return skh_error_set(err, SKH_FORBIDDEN, "the customer may not use \"%s\"",
				     intake->service->name);
	return read_priority(intake, err) && read_deadline(intake, err) && read_key(intake, err);
}

static bool admit(intake_t *intake, skh_error_t *err)
{
	skh_entry_t *entry = intake->entry;
	const skh_instances_t *members = skh_board_acquire_instances(entry->board);
	size_t entries = members ? skh_instances_count_role(members, "entry") : 1;
	bool admitted;

	skh_board_release(members);
	g_mutex_lock(&entry->admission_lock);
	admitted = skh_admission_acquire(entry->admission, intake->customer, MAX(entries, 1),
					 skh_clock_now_us(), err);
	g_mutex_unlock(&entry->admission_lock);
	return admitted;
}

static void release(intake_t *intake)
{
	skh_entry_t *entry = intake->entry;

	g_mutex_lock(&entry->admission_lock);
	skh_admission_release(entry->admission, intake->customer->name);
	g_mutex_unlock(&entry->admission_lock);
}

static bool serve(intake_t *intake, skh_error_t *err)
{
	http_sink_t sink = { { &http_sink_ops }, intake->http, false };
	const char *content_type = skh_http_header(intake->http, "Content-Type");
	const char *method = skh_http_method(intake->http);
	skh_error_t result;
	skh_entry_request_t job = {
		.request_id = intake->request_id,
		.customer = intake->customer->name,
		.priority_name = intake->priority->name,
		.priority = (uint32_t)intake->priority->level,
		.weight = intake->customer->weight,
		.service = intake->service->name,
		.failure_domain = intake->entry->settings->failure_domain,
		.method = method,
		.path = intake->path,
		.content_type = content_type ? content_type : JSON_TYPE,
		.body = skh_buffer_chunk(&intake->body),
		.is_streaming = intake->stream,
		.idempotent = skh_service_is_idempotent(intake->service, method),
		.idempotency_key = intake->key,
		.prefix_hash = intake->prefix_hash,
		.accepted_at_us = intake->accepted_at_us,
		.deadline_us = intake->deadline_us,
	};

	if (!admit(intake, err))
		return false;
	(void)skh_serve_request(intake->entry->link, intake->entry->quarantine, &job, &sink.base,
				&result);
	release(intake);
	return true;
}

/* The prompt's start, where shared prefixes are, stands in the body's first bytes. */
static uint64_t hash_prefix(const intake_t *intake)
{
	skh_chunk_t head = skh_buffer_chunk(&intake->body);

	head.len = MIN(head.len, AFFINITY_BYTES);
	return skh_chunk_hash(head, 0) | 1;
}

static bool read_completion(intake_t *intake, skh_error_t *err)
{
	json_error_t fault;
	json_t *json = json_loadb(skh_buffer_text(&intake->body), intake->body.len,
				  JSON_REJECT_DUPLICATES, &fault);
	const char *model = json_string_value(json_object_get(json, "model"));
	const json_t *stream = json_object_get(json, "stream");

	if (!json)
		return skh_error_set(err, SKH_BAD_REQUEST, "the body is not JSON: %s", fault.text);
	if (!model || (stream && !json_is_boolean(stream))) {
		json_decref(json);
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "\"model\" must be a text and \"stream\" a boolean");
	}
	intake->stream = json_is_true(stream);
	intake->service = skh_manifest_service_for_model(intake->config->manifest, model);
	if (!intake->service)
		(void)skh_error_set(err, SKH_NOT_FOUND, "no model is called \"%.64s\"", model);
	json_decref(json);
	return intake->service != NULL;
}

static bool handle_completion(intake_t *intake, skh_error_t *err)
{
	if (!skh_http_read_body(intake->http, &intake->body, err) || !read_completion(intake, err))
		return false;
	intake->path = skh_http_path(intake->http);
	intake->prefix_hash = hash_prefix(intake);
	return check_service(intake, err) && serve(intake, err);
}

static bool handle_models(intake_t *intake, skh_error_t *err)
{
	const skh_manifest_t *manifest = intake->config->manifest;
	json_t *data = json_array();
	json_t *answer = json_pack("{s:s, s:o}", "object", "list", "data", data);
	char *text;

	(void)err;
	for (size_t i = 0; i < skh_manifest_count_services(manifest); i++) {
		const skh_service_t *service = skh_manifest_service_at(manifest, i);

		if (service->kind == SKH_SERVICE_MODEL &&
		    skh_customer_can_use(intake->customer, service->name))
			json_array_append_new(data, json_pack("{s:s, s:s, s:s}", "id",
							      service->model, "object", "model",
							      "owned_by", service->owner));
	}
	text = json_dumps(answer, JSON_COMPACT);
	(void)skh_http_respond(intake->http, HTTP_OK, JSON_TYPE, skh_chunk_from_string(text));
	free(text);
	json_decref(answer);
	return true;
}

/* /services/NAME/rest goes to the backend servers of NAME as /rest. */
static bool handle_plain(intake_t *intake, skh_error_t *err)
{
	const char *rest = skh_http_path(intake->http) + strlen(SERVICES_PREFIX);
	const char *slash = strchr(rest, '/');
	g_autofree char *name = slash ? g_strndup(rest, (gsize)(slash - rest)) : g_strdup(rest);
	const char *query = skh_http_query(intake->http);
	g_autofree char *path = NULL;

	intake->service = skh_manifest_service(intake->config->manifest, name);
	if (!intake->service || intake->service->kind != SKH_SERVICE_PLAIN)
		return skh_error_set(err, SKH_NOT_FOUND, "no plain service is called \"%.64s\"",
				     name);
	path = g_strconcat(slash ? slash : "/", *query ? "?" : "", query, NULL);
	intake->path = path;
	return skh_http_read_body(intake->http, &intake->body, err) && check_service(intake, err) &&
	       serve(intake, err);
}

static const caller_route_t routes[] = {
	{ "POST", "/v1/chat/completions", false, handle_completion },
	{ "POST", "/v1/completions", false, handle_completion },
	{ "GET", "/v1/models", false, handle_models },
	{ NULL, SERVICES_PREFIX, true, handle_plain },
};

static const caller_route_t *find_route(const skh_http_request_t *http, skh_error_t *err)
{
	const char *path = skh_http_path(http);
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		bool matches = routes[i].prefix ? g_str_has_prefix(path, routes[i].path)
						: strcmp(path, routes[i].path) == 0;

		if (!matches)
			continue;
		path_known = true;
		if (!routes[i].method || strcmp(routes[i].method, skh_http_method(http)) == 0)
			return &routes[i];
	}
	(void)skh_error_set(err, path_known ? SKH_METHOD_NOT_ALLOWED : SKH_NOT_FOUND,
			    path_known ? "the method is not allowed here" : "no such path");
	return NULL;
}

static bool handle(intake_t *intake, skh_error_t *err)
{
	const caller_route_t *route = find_route(intake->http, err);

	return route && check_life(intake, err) && authenticate(intake, err) &&
	       route->handle(intake, err);
}

void skh_caller_api_handle(void *context, skh_http_request_t *request)
{
	skh_entry_t *entry = context;
	intake_t intake = { .entry = entry, .http = request, .body = SKH_BUFFER_INIT };
	skh_error_t err;

	g_atomic_int_inc(&entry->in_flight);
	skh_metrics_add(SKH_COUNT_REQUESTS, 1);
	intake.accepted_at_us = skh_clock_now_us();
	intake.config = skh_board_acquire_config(entry->board);
	(void)g_snprintf(intake.request_id, sizeof(intake.request_id), "%016" PRIx64,
			 skh_random_u64());
	skh_http_add_header(request, "X-Request-Id", intake.request_id);
	if (!handle(&intake, &err)) {
		skh_metrics_add(SKH_COUNT_REFUSED, 1);
		skh_decisions_record(intake.request_id,
				     intake.customer ? intake.customer->name : "",
				     intake.service ? intake.service->name : "", NULL, 0, &err);
		skh_log(SKH_LOG_DEBUG, PART, "Request refused.", "request=%s kind=%s reason=%s",
			intake.request_id, skh_error_kind_name(err.kind), err.text);
		skh_http_respond_problem(request, &err);
	}
	skh_board_release(intake.config);
	skh_buffer_free(&intake.body);
	(void)g_atomic_int_dec_and_test(&entry->in_flight);
}
