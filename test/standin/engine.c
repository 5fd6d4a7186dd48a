/*
 * Stand-in for a model engine with the OpenAI completion API plus resume and cancel. Token i
 * of a response depends only on the request body, so any engine can resume any response.
 * Orders of a map switch are accepted from any sender.
 *
 *   GET /runs                                   list all runs
 *   GET /orders                                 list the orders received
 *   POST /fault {"cut_after":N}                 close the next response after N tokens
 *                                               without its end marker
 *   POST /fault {"exit_after":N}                exit after N tokens
 *   POST /fault {"stall_after":N,"ms":M}        pause the next response after N tokens for M ms
 *   POST /fault {"order_ms":N}                  delay each order by N ms
 *
 * Each POST /fault replaces all faults.
 */
#define _GNU_SOURCE
#include "standin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_TOKENS 16
#define NO_FAULT       (-1)

typedef struct run {
	char *attempt;
	char *body;
	int64_t first_token;
	int64_t n_sent;
	bool is_complete;
	bool is_cancelled;
	bool has_ended; /* complete or aborted */
} run_t;

static GMutex lock;
static GPtrArray *runs;
static int64_t token_us;
static int64_t cut_after = NO_FAULT;
static int64_t exit_after = NO_FAULT;
static int64_t stall_after = NO_FAULT;
static int64_t stall_ms;
static int64_t order_ms;
static json_t *received_orders;

static run_t *add_run(const char *attempt, const char *body, int64_t first_token)
{
	run_t *run = g_new0(run_t, 1);

	run->attempt = g_strdup(attempt ? attempt : "");
	run->body = g_strdup(body);
	run->first_token = first_token;
	g_mutex_lock(&lock);
	g_ptr_array_add(runs, run);
	g_mutex_unlock(&lock);
	return run;
}

static char *make_token(const char *body, int64_t index)
{
	return g_strdup_printf("w%" PRIx32 "-%" PRId64, (uint32_t)(g_str_hash(body) + index * 7919),
			       index);
}

static bool is_run_cancelled(const run_t *run)
{
	bool result;

	g_mutex_lock(&lock);
	result = run->is_cancelled;
	g_mutex_unlock(&lock);
	return result;
}

/* Applies faults set for token @index. Returns false if the connection must be closed. */
static bool apply_fault(int64_t index)
{
	bool should_close;
	bool should_stall;

	g_mutex_lock(&lock);
	if (index == exit_after)
		_exit(1);
	should_close = index == cut_after;
	if (should_close)
		cut_after = NO_FAULT;
	should_stall = index == stall_after;
	if (should_stall)
		stall_after = NO_FAULT;
	g_mutex_unlock(&lock);
	if (should_stall)
		(void)usleep((useconds_t)(stall_ms * 1000));
	return !should_close;
}

static bool send_token(struct mg_connection *connection, const char *body, int64_t index)
{
	g_autofree char *text = make_token(body, index);
	/* Only if the body asks for it, as in benches: other events depend on the body alone. */
	g_autofree char *timestamp =
		strstr(body, "\"stamp\":true")
			? g_strdup_printf(",\"sent_us\":%" PRId64, g_get_monotonic_time())
			: g_strdup("");
	g_autofree char *event = g_strdup_printf("data: {\"choices\":[{\"index\":0,\"delta\":"
						 "{\"content\":\"%s \"}}]%s}\n\n",
						 text, timestamp);

	return mg_send_chunk(connection, event, (unsigned)strlen(event)) > 0;
}

static int send_stream(struct mg_connection *connection, run_t *run, int64_t n_tokens)
{
	static const char end_mark[] = "data: [DONE]\n\n";

	(void)mg_printf(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n");
	for (int64_t i = run->first_token; i < n_tokens; i++) {
		if (!apply_fault(i) || is_run_cancelled(run) ||
		    !send_token(connection, run->body, i))
			return standin_close_connection(connection);
		run->n_sent++;
		if (token_us > 0 && i + 1 < n_tokens)
			(void)usleep((useconds_t)token_us);
	}
	(void)mg_send_chunk(connection, end_mark, sizeof(end_mark) - 1);
	(void)mg_send_chunk(connection, "", 0);
	run->is_complete = true;
	return 200;
}

static int send_complete(struct mg_connection *connection, run_t *run, int64_t n_tokens)
{
	GString *text = g_string_new(NULL);
	json_t *response;

	for (int64_t i = 0; i < n_tokens; i++) {
		g_autofree char *token = make_token(run->body, i);

		if (!apply_fault(i))
			return standin_close_connection(connection);
		g_string_append_printf(text, "%s ", token);
		if (token_us > 0 && i + 1 < n_tokens)
			(void)usleep((useconds_t)token_us);
	}
	response = json_pack("{s:s, s:[{s:i, s:{s:s, s:s}, s:s}]}", "object", "chat.completion",
			     "choices", "index", 0, "message", "role", "assistant", "content",
			     text->str, "finish_reason", "stop");
	g_string_free(text, TRUE);
	run->n_sent = n_tokens;
	run->is_complete = true;
	return standin_respond(connection, 200, response);
}

static int handle_completion(struct mg_connection *connection)
{
	g_autofree char *body = standin_read_body(connection);
	json_t *json = json_loads(body, 0, NULL);
	const json_t *max_tokens = json_object_get(json, "max_tokens");
	int64_t n_tokens = max_tokens ? json_integer_value(max_tokens) : DEFAULT_TOKENS;
	bool is_stream = json_is_true(json_object_get(json, "stream"));
	const char *resume_from = mg_get_header(connection, "X-Resume-From");
	run_t *run;
	int status;

	json_decref(json);
	run = add_run(mg_get_header(connection, "X-Request-Id"), body,
		      resume_from ? g_ascii_strtoll(resume_from, NULL, 10) : 0);
	status = is_stream ? send_stream(connection, run, n_tokens)
			   : send_complete(connection, run, n_tokens);
	run->has_ended = true;
	return status;
}

static int handle_cancel(struct mg_connection *connection, const char *attempt)
{
	g_autofree char *body = standin_read_body(connection);

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (strcmp(run->attempt, attempt) == 0)
			run->is_cancelled = true;
	}
	g_mutex_unlock(&lock);
	return standin_respond(connection, 200, json_object());
}

static int handle_order(struct mg_connection *connection)
{
	json_t *order = standin_read_json(connection);
	int64_t ms;

	g_mutex_lock(&lock);
	ms = order_ms;
	g_mutex_unlock(&lock);
	if (ms > 0)
		(void)usleep((useconds_t)(ms * 1000));
	g_mutex_lock(&lock);
	json_array_append_new(received_orders, order);
	g_mutex_unlock(&lock);
	return standin_respond(connection, 200, json_object());
}

static int handle_list_orders(struct mg_connection *connection)
{
	json_t *copy;

	g_mutex_lock(&lock);
	copy = json_deep_copy(received_orders);
	g_mutex_unlock(&lock);
	return standin_respond(connection, 200, copy);
}

static int handle_runs(struct mg_connection *connection)
{
	json_t *list = json_array();

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:I, s:I, s:b, s:b}", "attempt", run->attempt,
					"body", run->body, "first", (json_int_t)run->first_token,
					"sent", (json_int_t)run->n_sent, "whole", run->is_complete,
					"cancelled", run->is_cancelled));
	}
	g_mutex_unlock(&lock);
	return standin_respond(connection, 200, list);
}

static int handle_load(struct mg_connection *connection)
{
	json_int_t running = 0;

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		running += !run->is_complete && !run->is_cancelled && !run->has_ended;
	}
	g_mutex_unlock(&lock);
	return standin_respond(connection, 200,
			       json_pack("{s:I, s:i}", "running", running, "queued", 0));
}

/* Every run stores its prefix. Each fifth event is missing, since engines lose events too. */
static int handle_cache_events(struct mg_connection *connection)
{
	const char *query = mg_get_request_info(connection)->query_string;
	int64_t from_seq = query ? g_ascii_strtoll(query + strlen("from="), NULL, 10) : 1;
	json_t *list = json_array();

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		if ((int64_t)i + 1 >= from_seq && (i + 1) % 5 != 0)
			json_array_append_new(list, json_pack("{s:i, s:s}", "seq", (int)i + 1,
							      "event", "stored"));
	}
	g_mutex_unlock(&lock);
	return standin_respond(connection, 200, list);
}

static int64_t get_fault_value(const json_t *request, const char *key)
{
	const json_t *value = json_object_get(request, key);

	return value ? json_integer_value(value) : NO_FAULT;
}

static int handle_fault(struct mg_connection *connection)
{
	json_t *request = standin_read_json(connection);

	g_mutex_lock(&lock);
	cut_after = get_fault_value(request, "cut_after");
	exit_after = get_fault_value(request, "exit_after");
	stall_after = get_fault_value(request, "stall_after");
	stall_ms = get_fault_value(request, "ms");
	order_ms = get_fault_value(request, "order_ms");
	g_mutex_unlock(&lock);
	json_decref(request);
	return standin_respond(connection, 200, json_object());
}

static int handle_request(struct mg_connection *connection, void *context)
{
	const char *path = mg_get_request_info(connection)->local_uri;

	(void)context;
	if (g_str_has_suffix(path, "/completions"))
		return handle_completion(connection);
	if (g_str_has_prefix(path, "/v1/cancel/"))
		return handle_cancel(connection, path + strlen("/v1/cancel/"));
	if (strcmp(path, "/v1/load") == 0)
		return handle_load(connection);
	if (strcmp(path, "/v1/cache_events") == 0)
		return handle_cache_events(connection);
	if (strcmp(path, "/v1/orders") == 0)
		return handle_order(connection);
	if (strcmp(path, "/orders") == 0)
		return handle_list_orders(connection);
	if (strcmp(path, "/runs") == 0)
		return handle_runs(connection);
	if (strcmp(path, "/fault") == 0)
		return handle_fault(connection);
	return standin_respond(connection, 404, json_object());
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		(void)fprintf(stderr, "usage: standin-engine ADDRESS:PORT [TOKEN_US]\n");
		return 2;
	}
	token_us = argc > 2 ? g_ascii_strtoll(argv[2], NULL, 10) : 0;
	runs = g_ptr_array_new();
	received_orders = json_array();
	return standin_serve(argv[1], handle_request);
}
