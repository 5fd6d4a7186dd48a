#include "admin.h"

#include "decisions.h"
#include "metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define ADMIN_THREADS	 4
#define ADMIN_STACK_KIB	 256
#define ADMIN_BODY_BYTES (1 << 20)
#define HTTP_OK		 200
#define TEXT_TYPE	 "text/plain; charset=utf-8"
#define JSON_TYPE	 "application/json"

struct skh_admin {
	skh_http_server_t *server;
	const skh_admin_ops_t *ops;
	void *context;
	skh_board_t *board;
	const skh_config_admin_t *config_admin;
};

/* One request, its authenticated sender and the configuration that it was checked against. */
typedef struct admin_call {
	skh_admin_t *admin;
	skh_http_request_t *request;
	const skh_config_t *config;	 /* NULL before the first configuration */
	const skh_operator_t *principal; /* NULL when access needed no key */
} admin_call_t;

typedef bool (*admin_fn)(const admin_call_t *call, skh_error_t *err);

typedef struct admin_route {
	const char *method;
	const char *path;
	skh_access_level_t required_level;
	admin_fn handle;
} admin_route_t;

static bool respond_text(skh_http_request_t *request, const char *type, const char *text)
{
	(void)skh_http_respond(request, HTTP_OK, type, skh_chunk_from_string(text));
	return true;
}

/* Takes ownership of @json. */
static bool respond_json(skh_http_request_t *request, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	(void)respond_text(request, JSON_TYPE, text);
	free(text);
	json_decref(json);
	return true;
}

/* Returns true when a body was read; *@json stays NULL when the body is not valid JSON. */
static bool read_json_body(skh_http_request_t *request, json_t **json, skh_error_t *err)
{
	skh_buffer_t body = SKH_BUFFER_INIT;
	bool is_complete = skh_http_read_body(request, &body, err);

	if (is_complete)
		*json = json_loadb(skh_buffer_text(&body), body.len, JSON_REJECT_DUPLICATES, NULL);
	skh_buffer_free(&body);
	return is_complete;
}

static bool handle_health(const admin_call_t *call, skh_error_t *err)
{
	(void)err;
	return respond_text(call->request, TEXT_TYPE, "ok\n");
}

static bool handle_ready(const admin_call_t *call, skh_error_t *err)
{
	if (!call->admin->ops->is_ready(call->admin->context))
		return skh_error_set(err, SKH_NOT_READY, "the process accepts no new work now");
	return respond_text(call->request, TEXT_TYPE, "ready\n");
}

static bool handle_metrics(const admin_call_t *call, skh_error_t *err)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	(void)err;
	skh_metrics_write(&out);
	(void)respond_text(call->request, TEXT_TYPE, skh_buffer_text(&out));
	skh_buffer_free(&out);
	return true;
}

static bool handle_status(const admin_call_t *call, skh_error_t *err)
{
	(void)err;
	return respond_json(call->request, call->admin->ops->get_status(call->admin->context));
}

static bool set_draining_state(const admin_call_t *call, bool drain, skh_error_t *err)
{
	if (!call->admin->ops->set_draining)
		return skh_error_set(err, SKH_NOT_FOUND, "the process can't be drained");
	call->admin->ops->set_draining(call->admin->context, drain);
	return respond_text(call->request, JSON_TYPE,
			    drain ? "{\"drain\":true}" : "{\"drain\":false}");
}

static bool handle_drain(const admin_call_t *call, skh_error_t *err)
{
	return set_draining_state(call, true, err);
}

static bool handle_undrain(const admin_call_t *call, skh_error_t *err)
{
	return set_draining_state(call, false, err);
}

static bool handle_enqueue_order(const admin_call_t *call, skh_error_t *err)
{
	json_t *json = NULL;
	bool is_queued;

	if (!call->admin->ops->enqueue_order)
		return skh_error_set(err, SKH_NOT_FOUND, "the process has no engine");
	if (!read_json_body(call->request, &json, err))
		return false;
	is_queued = call->admin->ops->enqueue_order(call->admin->context, json, err);
	json_decref(json);
	return is_queued && respond_text(call->request, JSON_TYPE, "{\"queued\":true}");
}

static bool handle_list_suspects(const admin_call_t *call, skh_error_t *err)
{
	if (!call->admin->ops->list_suspects)
		return skh_error_set(err, SKH_NOT_FOUND, "the process tracks no crash suspects");
	return respond_json(call->request, call->admin->ops->list_suspects(call->admin->context));
}

static bool handle_clear_suspect(const admin_call_t *call, skh_error_t *err)
{
	json_t *json = NULL;
	const char *content;
	bool was_suspect;

	if (!call->admin->ops->clear_suspect)
		return skh_error_set(err, SKH_NOT_FOUND, "the process tracks no crash suspects");
	if (!read_json_body(call->request, &json, err))
		return false;
	content = json_string_value(json_object_get(json, "content"));
	if (!content) {
		json_decref(json);
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "the body must be a JSON object with a string \"content\"");
	}
	was_suspect = call->admin->ops->clear_suspect(call->admin->context, content);
	json_decref(json);
	return respond_json(call->request, json_pack("{s:b}", "cleared", was_suspect));
}

static bool require_config_admin(const admin_call_t *call, skh_error_t *err)
{
	return call->admin->config_admin ||
	       skh_error_set(err, SKH_NOT_FOUND,
			     "the process does not serve the configuration API; ask an entry");
}

static bool respond_json_unless_null(const admin_call_t *call, json_t *json)
{
	return json && respond_json(call->request, json);
}

static void add_etag(const admin_call_t *call, int64_t revision)
{
	char etag[32];

	(void)g_snprintf(etag, sizeof(etag), "\"%" PRId64 "\"", revision);
	skh_http_add_header(call->request, "ETag", etag);
}

static bool handle_config(const admin_call_t *call, skh_error_t *err)
{
	if (!call->config)
		return skh_error_set(err, SKH_NOT_READY, "no configuration is in force yet");
	add_etag(call, call->config->revision);
	return respond_json(call->request, skh_config_admin_get_config(call->config));
}

/* If-Match holds the revision that the change is based on, so a concurrent change is detected. */
static bool parse_if_match(const admin_call_t *call, int64_t *base_revision, skh_error_t *err)
{
	const char *text = skh_http_header(call->request, "If-Match");
	char *end = NULL;

	*base_revision = -1;
	if (!text || strcmp(text, "*") == 0)
		return true;
	*base_revision = g_ascii_strtoll(*text == '"' ? text + 1 : text, &end, 10);
	if (end == text || (*end != '"' && *end != '\0') || *base_revision < 0)
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "If-Match is neither a revision nor \"*\"");
	return true;
}

static bool apply_config(const admin_call_t *call, bool dry_run, skh_error_t *err)
{
	skh_buffer_t body = SKH_BUFFER_INIT;
	json_t *response = NULL;
	int64_t base_revision;

	if (require_config_admin(call, err) && parse_if_match(call, &base_revision, err) &&
	    skh_http_read_body(call->request, &body, err))
		response = skh_config_admin_apply(call->admin->config_admin, call->config,
						  call->principal, skh_buffer_chunk(&body),
						  base_revision, dry_run, err);
	skh_buffer_free(&body);
	return respond_json_unless_null(call, response);
}

static bool handle_put_config(const admin_call_t *call, skh_error_t *err)
{
	return apply_config(call, false, err);
}

static bool handle_dry_run(const admin_call_t *call, skh_error_t *err)
{
	return apply_config(call, true, err);
}

static bool handle_history(const admin_call_t *call, skh_error_t *err)
{
	return require_config_admin(call, err) &&
	       respond_json_unless_null(
		       call, skh_config_admin_list_history(call->admin->config_admin, err));
}

static bool handle_rollout(const admin_call_t *call, skh_error_t *err)
{
	return require_config_admin(call, err) &&
	       respond_json_unless_null(
		       call, skh_config_admin_get_rollout(call->admin->config_admin, err));
}

static bool handle_decision(const admin_call_t *call, skh_error_t *err)
{
	const char *query = skh_http_query(call->request);
	json_t *decision = NULL;

	if (g_str_has_prefix(query, "request="))
		decision = skh_decisions_find(query + strlen("request="));
	if (!decision)
		return skh_error_set(err, SKH_NOT_FOUND,
				     "the process has no record of the request; ask another entry");
	return respond_json(call->request, decision);
}

static const admin_route_t routes[] = {
	{ "GET", "/healthz", SKH_ACCESS_LEVEL_NONE, handle_health },
	{ "GET", "/readyz", SKH_ACCESS_LEVEL_NONE, handle_ready },
	{ "GET", "/metrics", SKH_ACCESS_LEVEL_NONE, handle_metrics },
	{ "GET", "/admin/v1/status", SKH_ACCESS_LEVEL_NONE, handle_status },
	{ "POST", "/admin/v1/drain", SKH_ACCESS_LEVEL_OPERATOR, handle_drain },
	{ "POST", "/admin/v1/undrain", SKH_ACCESS_LEVEL_OPERATOR, handle_undrain },
	{ "POST", "/admin/v1/orders", SKH_ACCESS_LEVEL_OPERATOR, handle_enqueue_order },
	{ "GET", "/admin/v1/suspects", SKH_ACCESS_LEVEL_READER, handle_list_suspects },
	{ "POST", "/admin/v1/suspects/clear", SKH_ACCESS_LEVEL_OPERATOR, handle_clear_suspect },
	{ "GET", "/admin/v1/config", SKH_ACCESS_LEVEL_READER, handle_config },
	{ "PUT", "/admin/v1/config", SKH_ACCESS_LEVEL_TEAM, handle_put_config },
	{ "POST", "/admin/v1/config/dry-run", SKH_ACCESS_LEVEL_TEAM, handle_dry_run },
	{ "GET", "/admin/v1/history", SKH_ACCESS_LEVEL_READER, handle_history },
	{ "GET", "/admin/v1/reach", SKH_ACCESS_LEVEL_READER, handle_rollout },
	{ "GET", "/admin/v1/why", SKH_ACCESS_LEVEL_READER, handle_decision },
};

bool skh_admin_route_at(size_t index, const char **method, const char **path)
{
	if (index >= G_N_ELEMENTS(routes))
		return false;
	*method = routes[index].method;
	*path = routes[index].path;
	return true;
}

static const admin_route_t *find_route(const skh_http_request_t *request, skh_error_t *err)
{
	bool is_path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].path, skh_http_path(request)) != 0)
			continue;
		is_path_known = true;
		if (strcmp(routes[i].method, skh_http_method(request)) == 0)
			return &routes[i];
	}
	(void)skh_error_set(err, is_path_known ? SKH_METHOD_NOT_ALLOWED : SKH_NOT_FOUND,
			    is_path_known ? "the method is not allowed here" : "no such path");
	return NULL;
}

static void handle_request(void *context, skh_http_request_t *request)
{
	skh_admin_t *admin = context;
	admin_call_t call = { admin, request, skh_board_acquire_config(admin->board), NULL };
	skh_error_t err;
	const admin_route_t *route = find_route(request, &err);

	if (!route ||
	    !skh_access_check(call.config ? call.config->manifest : NULL,
			      skh_http_header(request, "Authorization"), route->required_level,
			      &call.principal, &err) ||
	    !route->handle(&call, &err))
		skh_http_respond_problem(request, &err);
	skh_board_release(call.config);
}

skh_admin_t *skh_admin_start(const char *listen, const skh_admin_ops_t *ops, void *context,
			     skh_board_t *board, const skh_config_admin_t *config_admin,
			     skh_error_t *err)
{
	skh_admin_t *admin = g_new0(skh_admin_t, 1);
	const skh_http_options_t options = { listen, ADMIN_THREADS, ADMIN_STACK_KIB,
					     ADMIN_BODY_BYTES };

	admin->ops = ops;
	admin->context = context;
	admin->board = board;
	admin->config_admin = config_admin;
	admin->server = skh_http_start(&options, handle_request, admin, err);
	if (!admin->server) {
		g_free(admin);
		return NULL;
	}
	return admin;
}

void skh_admin_stop(skh_admin_t *admin)
{
	skh_http_stop(admin->server);
	g_free(admin);
}
