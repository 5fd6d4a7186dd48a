#include "admin.h"

#include "metrics.h"

#include <glib.h>
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
};

typedef bool (*admin_fn)(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err);

typedef struct admin_route {
	const char *method;
	const char *path;
	admin_fn handle;
} admin_route_t;

static bool answer_text(skh_http_request_t *request, const char *type, const char *text)
{
	(void)skh_http_respond(request, HTTP_OK, type, skh_chunk_from_string(text));
	return true;
}

static bool handle_health(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	(void)admin;
	(void)err;
	return answer_text(request, TEXT_TYPE, "ok\n");
}

static bool handle_ready(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	if (!admin->ops->is_ready(admin->context))
		return skh_error_set(err, SKH_NOT_READY, "takes no new work now");
	return answer_text(request, TEXT_TYPE, "ready\n");
}

static bool handle_metrics(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	(void)admin;
	(void)err;
	skh_metrics_write(&out);
	(void)answer_text(request, TEXT_TYPE, skh_buffer_text(&out));
	skh_buffer_free(&out);
	return true;
}

/* Takes @json. */
static bool answer_json(skh_http_request_t *request, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	(void)answer_text(request, JSON_TYPE, text);
	free(text);
	json_decref(json);
	return true;
}

/* A body that is not JSON leaves *@json NULL; true when a body was read. */
static bool read_json(skh_http_request_t *request, json_t **json, skh_error_t *err)
{
	skh_buffer_t body = SKH_BUFFER_INIT;
	bool complete = skh_http_read_body(request, &body, err);

	if (complete)
		*json = json_loadb(skh_buffer_text(&body), body.len, JSON_REJECT_DUPLICATES, NULL);
	skh_buffer_free(&body);
	return complete;
}

static bool handle_status(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	(void)err;
	return answer_json(request, admin->ops->status(admin->context));
}

static bool set_drain(skh_admin_t *admin, skh_http_request_t *request, bool drain, skh_error_t *err)
{
	if (!admin->ops->drain)
		return skh_error_set(err, SKH_NOT_FOUND, "this process can't be drained");
	admin->ops->drain(admin->context, drain);
	return answer_text(request, JSON_TYPE, drain ? "{\"drain\":true}" : "{\"drain\":false}");
}

static bool handle_drain(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	return set_drain(admin, request, true, err);
}

static bool handle_undrain(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	return set_drain(admin, request, false, err);
}

static bool handle_order(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	json_t *json = NULL;
	bool queued;

	if (!admin->ops->order)
		return skh_error_set(err, SKH_NOT_FOUND, "this process has no engine");
	if (!read_json(request, &json, err))
		return false;
	queued = admin->ops->order(admin->context, json, err);
	json_decref(json);
	return queued && answer_text(request, JSON_TYPE, "{\"queued\":true}");
}

static bool handle_suspects(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	if (!admin->ops->suspects)
		return skh_error_set(err, SKH_NOT_FOUND, "this process keeps no suspects");
	return answer_json(request, admin->ops->suspects(admin->context));
}

static bool handle_clear(skh_admin_t *admin, skh_http_request_t *request, skh_error_t *err)
{
	json_t *json = NULL;
	const char *content;
	bool cleared;

	if (!admin->ops->clear_suspect)
		return skh_error_set(err, SKH_NOT_FOUND, "this process keeps no suspects");
	if (!read_json(request, &json, err))
		return false;
	content = json_string_value(json_object_get(json, "content"));
	if (!content) {
		json_decref(json);
		return skh_error_set(err, SKH_BAD_REQUEST, "\"content\" must be a text");
	}
	cleared = admin->ops->clear_suspect(admin->context, content);
	json_decref(json);
	return answer_json(request, json_pack("{s:b}", "cleared", cleared));
}

static const admin_route_t routes[] = {
	{ "GET", "/healthz", handle_health },
	{ "GET", "/readyz", handle_ready },
	{ "GET", "/metrics", handle_metrics },
	{ "GET", "/admin/v1/status", handle_status },
	{ "POST", "/admin/v1/drain", handle_drain },
	{ "POST", "/admin/v1/undrain", handle_undrain },
	{ "POST", "/admin/v1/orders", handle_order },
	{ "GET", "/admin/v1/suspects", handle_suspects },
	{ "POST", "/admin/v1/suspects/clear", handle_clear },
};

static void handle(void *context, skh_http_request_t *request)
{
	skh_admin_t *admin = context;
	skh_error_t err;
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].path, skh_http_path(request)) != 0)
			continue;
		path_known = true;
		if (strcmp(routes[i].method, skh_http_method(request)) != 0)
			continue;
		if (!routes[i].handle(admin, request, &err))
			skh_http_problem(request, &err);
		return;
	}
	(void)skh_error_set(&err, path_known ? SKH_METHOD_NOT_ALLOWED : SKH_NOT_FOUND,
			    path_known ? "the method is not allowed here" : "no such path");
	skh_http_problem(request, &err);
}

skh_admin_t *skh_admin_start(const char *listen, const skh_admin_ops_t *ops, void *context,
			     skh_error_t *err)
{
	skh_admin_t *admin = g_new0(skh_admin_t, 1);
	const skh_http_options_t options = { listen, ADMIN_THREADS, ADMIN_STACK_KIB,
					     ADMIN_BODY_BYTES };

	admin->ops = ops;
	admin->context = context;
	admin->server = skh_http_start(&options, handle, admin, err);
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
