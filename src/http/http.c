#define _GNU_SOURCE
#include "http.h"

#include "clock.h"

#include <civetweb.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#define BYTES_PER_KIB	       1024
#define READ_CHUNK_BYTES       8192
#define MAX_HEADERS_BYTES      "16384"
#define IDLE_TIMEOUT_MS	       "2000"
#define REQUEST_TIMEOUT_MS     "30000"
#define MAX_QUEUED_CONNECTIONS "1024"
#define HTTP_NO_CONTENT	       204
#define HTTP_HEADERS_TOO_LARGE 431
#define HTTP_CONTENT_TOO_LARGE 413
#define PROBLEM_CONTENT_TYPE   "application/problem+json"

struct skh_http_server {
	struct mg_context *context;
	skh_http_handler_fn handler;
	void *handler_context;
	int64_t max_body_bytes;
};

struct skh_http_request {
	skh_http_server_t *server;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	skh_buffer_t extra_headers;
	bool close_connection;
};

static int handle_request(struct mg_connection *connection, void *context)
{
	skh_http_server_t *server = context;
	skh_http_request_t request = {
		.server = server,
		.connection = connection,
		.info = mg_get_request_info(connection),
		.extra_headers = SKH_BUFFER_INIT,
	};

	server->handler(server->handler_context, &request);
	skh_buffer_free(&request.extra_headers);
	return 1;
}

/* Sends problem+json for requests that CivetWeb rejects, such as those with oversize headers. */
static int respond_to_library_error(struct mg_connection *connection, int status,
				    const char *message)
{
	skh_http_request_t request = { .connection = connection,
				       .info = mg_get_request_info(connection),
				       .extra_headers = SKH_BUFFER_INIT };
	skh_error_t err;
	skh_error_kind_t kind = SKH_BAD_REQUEST;

	if (status == HTTP_HEADERS_TOO_LARGE || status == HTTP_CONTENT_TOO_LARGE)
		kind = SKH_TOO_LARGE;
	else if (status >= 500)
		kind = SKH_INTERNAL;
	/* CivetWeb reports malformed requests and oversize headers with the same status. */
	if (kind == SKH_BAD_REQUEST)
		message = "the request is malformed, or its headers are over " MAX_HEADERS_BYTES
			  " bytes";
	(void)skh_error_set(&err, kind, "%s", message && *message ? message : "refused");
	err.run_state = SKH_RUN_NOT_RUN;
	skh_http_disable_keep_alive(&request);
	skh_http_respond_problem(&request, &err);
	skh_buffer_free(&request.extra_headers);
	return 0;
}

static int discard_log_message(const struct mg_connection *connection, const char *message)
{
	(void)connection;
	(void)message;
	return 1;
}

/* CivetWeb creates threads with default attributes, so the default is changed during the start. */
static struct mg_context *start_with_stack_size(const skh_http_options_t *options,
						const char **civetweb_options,
						struct mg_callbacks *callbacks,
						skh_http_server_t *server)
{
	pthread_attr_t default_attr;
	pthread_attr_t stack_size_attr;
	struct mg_context *context;

	(void)pthread_getattr_default_np(&default_attr);
	(void)pthread_attr_init(&stack_size_attr);
	(void)pthread_attr_setstacksize(&stack_size_attr,
					(size_t)options->stack_kib * BYTES_PER_KIB);
	(void)pthread_setattr_default_np(&stack_size_attr);
	context = mg_start(callbacks, server, civetweb_options);
	(void)pthread_setattr_default_np(&default_attr);
	(void)pthread_attr_destroy(&stack_size_attr);
	(void)pthread_attr_destroy(&default_attr);
	return context;
}

skh_http_server_t *skh_http_start(const skh_http_options_t *options, skh_http_handler_fn handler,
				  void *context, skh_error_t *err)
{
	skh_http_server_t *server = g_new0(skh_http_server_t, 1);
	g_autofree char *threads = g_strdup_printf("%" PRId64, options->threads);
	const char *civetweb_options[] = {
		"listening_ports",
		options->listen,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		IDLE_TIMEOUT_MS,
		"request_timeout_ms",
		REQUEST_TIMEOUT_MS,
		"max_request_size",
		MAX_HEADERS_BYTES,
		"connection_queue",
		MAX_QUEUED_CONNECTIONS,
		"listen_backlog",
		MAX_QUEUED_CONNECTIONS,
		"tcp_nodelay",
		"1",
		NULL,
	};
	struct mg_callbacks callbacks = { .http_error = respond_to_library_error,
					  .log_message = discard_log_message };

	server->handler = handler;
	server->handler_context = context;
	server->max_body_bytes = options->max_body_bytes;
	(void)mg_init_library(0);
	server->context = start_with_stack_size(options, civetweb_options, &callbacks, server);
	if (!server->context) {
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "can't listen on %s", options->listen);
		g_free(server);
		return NULL;
	}
	mg_set_request_handler(server->context, "/", handle_request, server);
	return server;
}

void skh_http_stop(skh_http_server_t *server)
{
	mg_stop(server->context);
	(void)mg_exit_library();
	g_free(server);
}

const char *skh_http_method(const skh_http_request_t *request)
{
	return request->info->request_method;
}

const char *skh_http_path(const skh_http_request_t *request)
{
	return request->info->local_uri;
}

const char *skh_http_query(const skh_http_request_t *request)
{
	return request->info->query_string ? request->info->query_string : "";
}

const char *skh_http_header(const skh_http_request_t *request, const char *name)
{
	return mg_get_header(request->connection, name);
}

bool skh_http_read_body(skh_http_request_t *request, skh_buffer_t *body, skh_error_t *err)
{
	int64_t max_bytes = request->server->max_body_bytes;
	int64_t content_length = request->info->content_length;
	char bytes[READ_CHUNK_BYTES];
	int n = 0;

	if (content_length > max_bytes) {
		skh_http_disable_keep_alive(request);
		return skh_error_set(err, SKH_TOO_LARGE,
				     "the body is over the limit of %" PRId64 " bytes", max_bytes);
	}
	while ((n = mg_read(request->connection, bytes, sizeof(bytes))) > 0) {
		skh_buffer_append(body, skh_chunk_make(bytes, (size_t)n));
		if ((int64_t)body->len > max_bytes) {
			skh_http_disable_keep_alive(request);
			return skh_error_set(err, SKH_TOO_LARGE,
					     "the body is over the limit of %" PRId64 " bytes",
					     max_bytes);
		}
	}
	if (n < 0 || (content_length >= 0 && (int64_t)body->len < content_length)) {
		skh_http_disable_keep_alive(request);
		return skh_error_set(err, SKH_BAD_REQUEST,
				     "the body ended before its announced length");
	}
	return true;
}

void skh_http_add_header(skh_http_request_t *request, const char *name, const char *value)
{
	skh_buffer_printf(&request->extra_headers, "%s: %s\r\n", name, value);
}

void skh_http_disable_keep_alive(skh_http_request_t *request)
{
	request->close_connection = true;
	mg_disable_connection_keep_alive(request->connection);
}

static void append_response_head(skh_http_request_t *request, int32_t status,
				 const char *content_type, skh_buffer_t *out)
{
	skh_buffer_printf(out, "HTTP/1.1 %d %s\r\n", status,
			  mg_get_response_code_text(request->connection, status));
	if (content_type && *content_type)
		skh_buffer_printf(out, "Content-Type: %s\r\n", content_type);
	skh_buffer_append(out, skh_buffer_chunk(&request->extra_headers));
	if (request->close_connection)
		skh_buffer_append_string(out, "Connection: close\r\n");
}

static bool write_all(skh_http_request_t *request, skh_chunk_t bytes)
{
	return mg_write(request->connection, bytes.data, bytes.len) == (int)bytes.len;
}

bool skh_http_respond(skh_http_request_t *request, int32_t status, const char *content_type,
		      skh_chunk_t body)
{
	skh_buffer_t out = SKH_BUFFER_INIT;
	bool sent;

	append_response_head(request, status, content_type, &out);
	if (status != HTTP_NO_CONTENT)
		skh_buffer_printf(&out, "Content-Length: %zu\r\n", body.len);
	skh_buffer_append_string(&out, "\r\n");
	if (g_strcmp0(request->info->request_method, "HEAD") != 0)
		skh_buffer_append(&out, body);
	sent = write_all(request, skh_buffer_chunk(&out));
	skh_buffer_free(&out);
	return sent;
}

void skh_http_append_problem(const skh_error_t *err, skh_buffer_t *out)
{
	json_t *problem = json_pack("{s:s, s:s, s:i, s:s, s:s, s:s}", "type", "about:blank",
				    "title", skh_error_kind_name(err->kind), "status",
				    skh_error_kind_http_status(err->kind), "detail", err->text,
				    "kind", skh_error_kind_name(err->kind), "run",
				    skh_run_state_name(err->run_state));
	char *text = json_dumps(problem, JSON_COMPACT);

	skh_buffer_append_string(out, text ? text : "{}");
	free(text);
	json_decref(problem);
}

/* The delay is rounded up to seconds, so that the client does not retry too early. */
static void add_retry_after(skh_http_request_t *request, const skh_error_t *err)
{
	int64_t delay_us = err->retry_at_us - skh_clock_now_us();
	g_autofree char *seconds = NULL;

	if (err->retry_at_us == 0)
		return;
	seconds = g_strdup_printf("%" PRId64, MAX((delay_us + SKH_US_PER_S - 1) / SKH_US_PER_S, 1));
	skh_http_add_header(request, "Retry-After", seconds);
}

void skh_http_respond_problem(skh_http_request_t *request, const skh_error_t *err)
{
	skh_buffer_t body = SKH_BUFFER_INIT;

	skh_http_append_problem(err, &body);
	add_retry_after(request, err);
	(void)skh_http_respond(request, skh_error_kind_http_status(err->kind), PROBLEM_CONTENT_TYPE,
			       skh_buffer_chunk(&body));
	skh_buffer_free(&body);
}

bool skh_http_stream_begin(skh_http_request_t *request, int32_t status, const char *content_type)
{
	skh_buffer_t out = SKH_BUFFER_INIT;
	bool sent;

	append_response_head(request, status, content_type, &out);
	skh_buffer_append_string(&out, "Cache-Control: no-cache\r\n"
				       "Transfer-Encoding: chunked\r\n\r\n");
	sent = write_all(request, skh_buffer_chunk(&out));
	skh_buffer_free(&out);
	return sent;
}

bool skh_http_stream_write(skh_http_request_t *request, skh_chunk_t bytes)
{
	skh_buffer_t out = SKH_BUFFER_INIT;
	bool sent;

	if (bytes.len == 0)
		return true;
	skh_buffer_printf(&out, "%zx\r\n", bytes.len);
	skh_buffer_append(&out, bytes);
	skh_buffer_append_string(&out, "\r\n");
	sent = write_all(request, skh_buffer_chunk(&out));
	skh_buffer_free(&out);
	return sent;
}

bool skh_http_stream_end(skh_http_request_t *request)
{
	return write_all(request, skh_chunk_from_string("0\r\n\r\n"));
}

void skh_http_stream_abort(skh_http_request_t *request)
{
	mg_disable_connection_keep_alive(request->connection);
}
