#define _GNU_SOURCE
#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define READ_BUFFER_BYTES 8192

int standin_serve(const char *listen, mg_request_handler handler)
{
	/* How long a response may go unread before the stand-in closes the connection. */
	const char *write_timeout_ms = g_getenv("WRITE_TIMEOUT_MS");
	const char *options[] = { "listening_ports",
				  listen,
				  "num_threads",
				  "700",
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "60000",
				  "tcp_nodelay",
				  "1",
				  "connection_queue",
				  "1024",
				  "request_timeout_ms",
				  write_timeout_ms ? write_timeout_ms : "600000",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *context;
	pthread_attr_t thread_attributes;

	(void)signal(SIGPIPE, SIG_IGN);
	(void)pthread_attr_init(&thread_attributes);
	(void)pthread_attr_setstacksize(&thread_attributes, 256 << 10);
	(void)pthread_setattr_default_np(&thread_attributes);
	(void)mg_init_library(0);
	context = mg_start(&callbacks, NULL, options);
	if (!context) {
		(void)fprintf(stderr, "can't listen on %s\n", listen);
		return 1;
	}
	mg_set_request_handler(context, "/", handler, NULL);
	(void)printf("ready\n");
	(void)fflush(stdout);
	for (;;)
		(void)pause();
}

char *standin_read_body(struct mg_connection *connection)
{
	GString *body = g_string_new(NULL);
	char buffer[READ_BUFFER_BYTES];
	int n;

	while ((n = mg_read(connection, buffer, sizeof(buffer))) > 0)
		g_string_append_len(body, buffer, n);
	return g_string_free(body, FALSE);
}

json_t *standin_read_json(struct mg_connection *connection)
{
	g_autofree char *body = standin_read_body(connection);
	json_t *json = json_loads(body, 0, NULL);

	return json ? json : json_object();
}

/* Header of all responses; "" for none. Set while the caller serves no request. */
static char extra_header[128];

void standin_set_header(const char *name, int64_t value)
{
	(void)g_snprintf(extra_header, sizeof(extra_header), "%s: %" G_GINT64_FORMAT "\r\n", name,
			 value);
}

int standin_respond(struct mg_connection *connection, int status, json_t *json)
{
	char *body = json_dumps(json, JSON_COMPACT);
	g_autofree char *response =
		g_strdup_printf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
				"Content-Length: %zu\r\n%s\r\n%s",
				status, strlen(body), extra_header, body);

	(void)mg_write(connection, response, strlen(response));
	free(body);
	json_decref(json);
	return status;
}

int standin_close_connection(struct mg_connection *connection)
{
	mg_disable_connection_keep_alive(connection);
	return 500;
}
