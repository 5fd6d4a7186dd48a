/*
 * Stand-in for a model engine: the OpenAI shape with resume and cancel. Token
 * i of an answer depends only on the request's body, so any engine continues
 * any answer. GET /runs tells what was run. POST /fault {"cut_after":N} makes
 * the next answer end after N tokens without its end mark; {"exit_after":N}
 * ends the process there; {"stall_after":N,"ms":M} pauses it there. Orders of a map switch are obeyed whoever gives them
 * and are listed by GET /orders; {"order_ms":N} makes each take that long.
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
	int64_t first;
	int64_t sent;
	bool whole;
	bool cancelled;
	bool ended; /* whole or not */
} run_t;

static GMutex lock;
static GPtrArray *runs;
static int64_t token_us;
static int64_t cut_after = NO_FAULT;
static int64_t exit_after = NO_FAULT;
static int64_t stall_after = NO_FAULT;
static int64_t stall_ms;
static int64_t order_ms;
static json_t *orders;

static run_t *add_run(const char *attempt, const char *body, int64_t first)
{
	run_t *run = g_new0(run_t, 1);

	run->attempt = g_strdup(attempt ? attempt : "");
	run->body = g_strdup(body);
	run->first = first;
	g_mutex_lock(&lock);
	g_ptr_array_add(runs, run);
	g_mutex_unlock(&lock);
	return run;
}

static char *token(const char *body, int64_t index)
{
	return g_strdup_printf("w%" PRIx32 "-%" PRId64, (uint32_t)(g_str_hash(body) + index * 7919),
			       index);
}

static bool is_cancelled(const run_t *run)
{
	bool cancelled;

	g_mutex_lock(&lock);
	cancelled = run->cancelled;
	g_mutex_unlock(&lock);
	return cancelled;
}

/* Returns false when the answer ends here because of a fault. */
static bool meet_fault(int64_t index)
{
	bool cut;
	bool stall;

	g_mutex_lock(&lock);
	if (index == exit_after)
		_exit(1);
	cut = index == cut_after;
	if (cut)
		cut_after = NO_FAULT;
	stall = index == stall_after;
	if (stall)
		stall_after = NO_FAULT;
	g_mutex_unlock(&lock);
	if (stall)
		(void)usleep((useconds_t)(stall_ms * 1000));
	return !cut;
}

static bool send_token(struct mg_connection *connection, const char *body, int64_t index)
{
	g_autofree char *text = token(body, index);
	/* The benches ask for a time stamp; it is no part of the answer proper. */
	g_autofree char *stamp =
		strstr(body, "\"stamp\":true")
			? g_strdup_printf(",\"sent_us\":%" PRId64, g_get_monotonic_time())
			: g_strdup("");
	g_autofree char *event = g_strdup_printf("data: {\"choices\":[{\"index\":0,\"delta\":"
						 "{\"content\":\"%s \"}}]%s}\n\n",
						 text, stamp);

	return mg_send_chunk(connection, event, (unsigned)strlen(event)) > 0;
}

static int stream(struct mg_connection *connection, run_t *run, int64_t n)
{
	static const char done[] = "data: [DONE]\n\n";

	(void)mg_printf(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n");
	for (int64_t i = run->first; i < n; i++) {
		if (!meet_fault(i) || is_cancelled(run) || !send_token(connection, run->body, i))
			return standin_hang_up(connection);
		run->sent++;
		if (token_us > 0 && i + 1 < n)
			(void)usleep((useconds_t)token_us);
	}
	(void)mg_send_chunk(connection, done, sizeof(done) - 1);
	(void)mg_send_chunk(connection, "", 0);
	run->whole = true;
	return 200;
}

static int whole(struct mg_connection *connection, run_t *run, int64_t n)
{
	GString *text = g_string_new(NULL);
	json_t *answer;

	for (int64_t i = 0; i < n; i++) {
		g_autofree char *word = token(run->body, i);

		if (!meet_fault(i))
			return standin_hang_up(connection);
		g_string_append_printf(text, "%s ", word);
		if (token_us > 0 && i + 1 < n)
			(void)usleep((useconds_t)token_us);
	}
	answer = json_pack("{s:s, s:[{s:i, s:{s:s, s:s}, s:s}]}", "object", "chat.completion",
			   "choices", "index", 0, "message", "role", "assistant", "content",
			   text->str, "finish_reason", "stop");
	g_string_free(text, TRUE);
	run->sent = n;
	run->whole = true;
	return standin_answer(connection, 200, answer);
}

static int handle_completion(struct mg_connection *connection)
{
	g_autofree char *body = standin_read(connection);
	json_t *json = json_loads(body, 0, NULL);
	const json_t *max = json_object_get(json, "max_tokens");
	int64_t n = max ? json_integer_value(max) : DEFAULT_TOKENS;
	bool streamed = json_is_true(json_object_get(json, "stream"));
	const char *from = mg_get_header(connection, "X-Resume-From");
	run_t *run;
	int status;

	json_decref(json);
	run = add_run(mg_get_header(connection, "X-Request-Id"), body,
		      from ? g_ascii_strtoll(from, NULL, 10) : 0);
	status = streamed ? stream(connection, run, n) : whole(connection, run, n);
	run->ended = true;
	return status;
}

static int handle_cancel(struct mg_connection *connection, const char *attempt)
{
	g_autofree char *body = standin_read(connection);

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (strcmp(run->attempt, attempt) == 0)
			run->cancelled = true;
	}
	g_mutex_unlock(&lock);
	return standin_answer(connection, 200, json_object());
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
	json_array_append_new(orders, order);
	g_mutex_unlock(&lock);
	return standin_answer(connection, 200, json_object());
}

static int handle_orders(struct mg_connection *connection)
{
	json_t *copy;

	g_mutex_lock(&lock);
	copy = json_deep_copy(orders);
	g_mutex_unlock(&lock);
	return standin_answer(connection, 200, copy);
}

static int handle_runs(struct mg_connection *connection)
{
	json_t *list = json_array();

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:I, s:I, s:b, s:b}", "attempt",
						      run->attempt, "body", run->body, "first",
						      (json_int_t)run->first, "sent",
						      (json_int_t)run->sent, "whole", run->whole,
						      "cancelled", run->cancelled));
	}
	g_mutex_unlock(&lock);
	return standin_answer(connection, 200, list);
}

static int handle_load(struct mg_connection *connection)
{
	json_int_t running = 0;

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		running += !run->whole && !run->cancelled && !run->ended;
	}
	g_mutex_unlock(&lock);
	return standin_answer(connection, 200,
			      json_pack("{s:I, s:i}", "running", running, "queued", 0));
}

/* Every run stores its prefix; each fifth event is lost, as real ones are. */
static int handle_events(struct mg_connection *connection)
{
	const char *query = mg_get_request_info(connection)->query_string;
	int64_t from = query ? g_ascii_strtoll(query + strlen("from="), NULL, 10) : 1;
	json_t *list = json_array();

	g_mutex_lock(&lock);
	for (guint i = 0; i < runs->len; i++) {
		if ((int64_t)i + 1 >= from && (i + 1) % 5 != 0)
			json_array_append_new(list, json_pack("{s:i, s:s}", "seq", (int)i + 1,
							      "event", "stored"));
	}
	g_mutex_unlock(&lock);
	return standin_answer(connection, 200, list);
}

static int64_t fault_of(const json_t *request, const char *key)
{
	const json_t *value = json_object_get(request, key);

	return value ? json_integer_value(value) : NO_FAULT;
}

static int handle_fault(struct mg_connection *connection)
{
	json_t *request = standin_read_json(connection);

	g_mutex_lock(&lock);
	cut_after = fault_of(request, "cut_after");
	exit_after = fault_of(request, "exit_after");
	stall_after = fault_of(request, "stall_after");
	stall_ms = fault_of(request, "ms");
	order_ms = fault_of(request, "order_ms");
	g_mutex_unlock(&lock);
	json_decref(request);
	return standin_answer(connection, 200, json_object());
}

static int handle(struct mg_connection *connection, void *context)
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
		return handle_events(connection);
	if (strcmp(path, "/v1/orders") == 0)
		return handle_order(connection);
	if (strcmp(path, "/orders") == 0)
		return handle_orders(connection);
	if (strcmp(path, "/runs") == 0)
		return handle_runs(connection);
	if (strcmp(path, "/fault") == 0)
		return handle_fault(connection);
	return standin_answer(connection, 404, json_object());
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		(void)fprintf(stderr, "usage: standin-engine ADDRESS:PORT [TOKEN_US]\n");
		return 2;
	}
	token_us = argc > 2 ? g_ascii_strtoll(argv[2], NULL, 10) : 0;
	runs = g_ptr_array_new();
	orders = json_array();
	return standin_serve(argv[1], handle);
}
