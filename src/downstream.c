#include "downstream.h"

#include "address.h"
#include "clock.h"
#include "log.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>

#define PART	 "http"
#define BACKLOG	 512
#define SWEEP_MS 100
/* A caller that reads slowly holds its server's stream back from here on. */
#define SLOW_BYTES (256 << 10)
/* Bytes that a caller may send ahead of its answer. */
#define AHEAD_BYTES (64 << 10)
/* Before a configuration is known. */
#define DEFAULT_HEADER_BYTES (16 << 10)
#define DEFAULT_BODY_BYTES   (4 << 20)
#define DEFAULT_TIMEOUT_US   (15 * SKH_US_PER_S)
/* After a planned stop begins, idle connections are closed over this time. */
#define RETIRE_SPREAD_US (1 * SKH_US_PER_S)
/* Time for a refused caller to read the answer before its connection goes. */
#define LINGER_US (1 * SKH_US_PER_S)

struct skh_listener {
	uv_tcp_t tcp;
	uv_timer_t sweep;
	const skh_listener_ops_t *ops;
	void *context;
	skh_caller_limits_t limits;
	GQueue connections;
	bool retiring;
	bool away; /* callers are to come back elsewhere */
	bool closed;
};

typedef enum phase {
	PHASE_IDLE,	 /* no byte of a request yet */
	PHASE_READING,	 /* part of a request */
	PHASE_SERVING,	 /* the answer is due */
	PHASE_LINGERING, /* answered; waits for the caller to close */
	PHASE_CLOSED
} phase_t;

struct skh_caller_conn {
	uv_tcp_t tcp;
	skh_listener_t *listener;
	GList link;
	phase_t phase;
	skh_http_message_t request;
	skh_buffer_t ahead; /* read while the answer was due */
	void *exchange;
	int64_t received_us;
	int64_t phase_until_us; /* deadline of the phase; 0 for none */
	bool chunked;
	bool keep; /* after the answer */
	bool told_slow;
};

typedef struct write {
	uv_write_t request;
	skh_caller_conn_t *conn;
	skh_buffer_t bytes;
} write_t;

static char read_buffer[64 << 10];

static void read_requests(skh_caller_conn_t *conn);

static void on_closed(uv_handle_t *handle)
{
	skh_caller_conn_t *conn = handle->data;

	skh_http_message_free(&conn->request);
	skh_buffer_free(&conn->ahead);
	g_free(conn);
}

static void close_conn(skh_caller_conn_t *conn)
{
	if (conn->phase == PHASE_CLOSED)
		return;
	conn->phase = PHASE_CLOSED;
	g_queue_unlink(&conn->listener->connections, &conn->link);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

/* The exchange, if any, is told once. */
static void lose_caller(skh_caller_conn_t *conn)
{
	void *exchange = conn->exchange;

	conn->exchange = NULL;
	close_conn(conn);
	if (exchange)
		conn->listener->ops->on_disconnect(conn->listener->context, exchange);
}

static void on_written(uv_write_t *request, int status)
{
	write_t *write = (write_t *)request;
	skh_caller_conn_t *conn = write->conn;

	skh_buffer_free(&write->bytes);
	g_free(write);
	if (conn->phase == PHASE_CLOSED)
		return;
	if (status < 0) {
		lose_caller(conn);
		return;
	}
	if (conn->told_slow && !skh_caller_conn_has_write_backlog(conn)) {
		conn->told_slow = false;
		if (conn->exchange)
			conn->listener->ops->on_writable(conn->listener->context, conn->exchange);
	}
}

/* Takes the bytes of @buffer. */
static void write_out(skh_caller_conn_t *conn, skh_buffer_t *buffer)
{
	uv_buf_t bytes = uv_buf_init((char *)buffer->data, (unsigned int)buffer->len);
	int done = uv_try_write((uv_stream_t *)&conn->tcp, &bytes, 1);
	write_t *write;

	if (done == (int)buffer->len) {
		skh_buffer_free(buffer);
		return;
	}
	if (done > 0)
		skh_buffer_consume(buffer, (size_t)done);
	write = g_new0(write_t, 1);
	write->conn = conn;
	write->bytes = *buffer;
	*buffer = (skh_buffer_t)SKH_BUFFER_INIT;
	bytes = uv_buf_init((char *)write->bytes.data, (unsigned int)write->bytes.len);
	if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, &bytes, 1, on_written) == 0)
		return;
	skh_buffer_free(&write->bytes);
	g_free(write);
}

void skh_caller_conn_set_exchange(skh_caller_conn_t *conn, void *exchange)
{
	conn->exchange = exchange;
}

int64_t skh_caller_conn_received_us(const skh_caller_conn_t *conn)
{
	return conn->received_us;
}

bool skh_caller_conn_has_write_backlog(const skh_caller_conn_t *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) > SLOW_BYTES;
}

void skh_caller_conn_begin_response(skh_caller_conn_t *conn, const skh_response_head_t *head)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	conn->keep = conn->keep && !conn->listener->retiring && !conn->listener->away;
	conn->chunked = head->chunked && !head->no_body;
	skh_buffer_printf(&out, "HTTP/1.1 %" PRId32 " %s\r\n%s", head->status, head->reason,
			  head->headers);
	if (head->chunked)
		skh_buffer_append_string(&out, "Transfer-Encoding: chunked\r\n");
	else if (head->status != 204 && head->status != 304)
		skh_buffer_printf(&out, "Content-Length: %zu\r\n", head->content_length);
	skh_buffer_append_string(&out, conn->keep ? "\r\n" : "Connection: close\r\n\r\n");
	write_out(conn, &out);
}

void skh_caller_conn_write(skh_caller_conn_t *conn, skh_chunk_t bytes)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	if (bytes.len == 0 || conn->phase == PHASE_CLOSED)
		return;
	if (conn->chunked)
		skh_buffer_printf(&out, "%zx\r\n", bytes.len);
	skh_buffer_append(&out, bytes);
	if (conn->chunked)
		skh_buffer_append_string(&out, "\r\n");
	write_out(conn, &out);
	conn->told_slow = conn->told_slow || skh_caller_conn_has_write_backlog(conn);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	(void)status;
	g_free(request);
}

/* Ends our side and waits for the caller's, so that what is unread resets nothing. */
static void linger(skh_caller_conn_t *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	conn->phase = PHASE_LINGERING;
	conn->phase_until_us = skh_clock_boot_us() + LINGER_US;
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_shutdown) != 0)
		g_free(request);
}

static void await_request(skh_caller_conn_t *conn)
{
	conn->phase = PHASE_IDLE;
	conn->phase_until_us = skh_clock_boot_us() + conn->listener->limits.idle_timeout_us;
}

void skh_caller_conn_end_response(skh_caller_conn_t *conn)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	conn->exchange = NULL;
	if (conn->phase == PHASE_CLOSED)
		return;
	if (conn->chunked) {
		skh_buffer_append_string(&out, "0\r\n\r\n");
		write_out(conn, &out);
	}
	conn->chunked = false;
	/* An answer that began before a planned stop could not announce the end. */
	if (!conn->keep || conn->listener->retiring) {
		linger(conn);
		return;
	}
	await_request(conn);
	read_requests(conn);
}

void skh_caller_conn_abort(skh_caller_conn_t *conn)
{
	conn->exchange = NULL;
	close_conn(conn);
}

/* An answer of the connection itself: what was sent is no request, or too slow. */
static void refuse(skh_caller_conn_t *conn, const skh_error_t *err)
{
	skh_response_head_t head = { .status = skh_error_kind_http_status(err->kind),
				     .reason = "Refused",
				     .headers = "Content-Type: text/plain\r\n" };
	skh_chunk_t text = skh_chunk_from_string(err->text);

	skh_log(SKH_LOG_INFO, PART, "Request refused.", "kind=%s reason=%s",
		skh_error_kind_name(err->kind), err->text);
	head.content_length = text.len;
	conn->keep = false;
	skh_caller_conn_begin_response(conn, &head);
	skh_caller_conn_write(conn, text);
	linger(conn);
}

static bool on_request_head(void *context, skh_http_message_t *request)
{
	skh_caller_conn_t *conn = context;
	const char *expect = skh_http_message_header(request, "Expect");
	skh_buffer_t out = SKH_BUFFER_INIT;

	if (request->parser.http_major != 1 || request->parser.method == HTTP_CONNECT)
		return false;
	if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0) {
		skh_buffer_append_string(&out, "HTTP/1.1 100 Continue\r\n\r\n");
		write_out(conn, &out);
	}
	conn->phase_until_us = skh_clock_boot_us() + conn->listener->limits.idle_timeout_us;
	return true;
}

static const skh_http_message_ops_t request_ops = { .on_head = on_request_head };

static void begin_request(skh_caller_conn_t *conn)
{
	conn->phase = PHASE_READING;
	conn->received_us = skh_clock_boot_us();
	conn->phase_until_us = conn->received_us + conn->listener->limits.header_timeout_us;
	skh_http_message_reset(&conn->request, HTTP_REQUEST, &request_ops, conn);
	conn->request.max_header_bytes = conn->listener->limits.max_header_bytes;
	conn->request.max_body_bytes = conn->listener->limits.max_body_bytes;
}

static void serve(skh_caller_conn_t *conn)
{
	conn->phase = PHASE_SERVING;
	conn->phase_until_us = 0;
	conn->keep = skh_http_message_can_keep_alive(&conn->request);
	conn->listener->ops->on_request(conn->listener->context, conn, &conn->request);
}

/* Reads what has come so far; a request that ends leaves the rest for later. */
static void read_requests(skh_caller_conn_t *conn)
{
	while (conn->ahead.len > 0 && (conn->phase == PHASE_IDLE || conn->phase == PHASE_READING)) {
		skh_error_t err;
		size_t used;

		if (conn->phase == PHASE_IDLE)
			begin_request(conn);
		if (!skh_http_message_feed(&conn->request, skh_buffer_chunk(&conn->ahead), &used,
					   &err)) {
			refuse(conn, &err);
			return;
		}
		skh_buffer_consume(&conn->ahead, used);
		if (conn->request.done)
			serve(conn);
	}
}

static void give_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	(void)handle;
	(void)wanted;
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	skh_caller_conn_t *conn = stream->data;

	if (n == 0 || conn->phase == PHASE_CLOSED)
		return;
	if (n < 0) {
		lose_caller(conn);
		return;
	}
	if (conn->phase == PHASE_LINGERING)
		return;
	if (conn->phase == PHASE_SERVING && conn->ahead.len + (size_t)n > AHEAD_BYTES) {
		lose_caller(conn);
		return;
	}
	skh_buffer_append(&conn->ahead, skh_chunk_make(buffer->base, (size_t)n));
	read_requests(conn);
}

static void on_connection(uv_stream_t *stream, int status)
{
	skh_listener_t *listener = stream->data;
	skh_caller_conn_t *conn;

	if (status < 0) {
		skh_log(SKH_LOG_WARNING, PART, "Connection not accepted.", "reason=%s",
			uv_strerror(status));
		return;
	}
	conn = g_new0(skh_caller_conn_t, 1);
	conn->listener = listener;
	conn->link.data = conn;
	conn->tcp.data = conn;
	(void)uv_tcp_init(stream->loop, &conn->tcp);
	g_queue_push_tail_link(&listener->connections, &conn->link);
	if (uv_accept(stream, (uv_stream_t *)&conn->tcp) != 0) {
		close_conn(conn);
		return;
	}
	(void)uv_tcp_nodelay(&conn->tcp, 1);
	await_request(conn);
	(void)uv_read_start((uv_stream_t *)&conn->tcp, give_buffer, on_read);
}

static void end_phase(skh_caller_conn_t *conn)
{
	skh_error_t err;

	if (conn->phase != PHASE_READING) {
		close_conn(conn);
		return;
	}
	(void)skh_error_set(&err, SKH_REQUEST_TIMEOUT, "the request came too slowly");
	refuse(conn, &err);
}

static void on_sweep(uv_timer_t *timer)
{
	skh_listener_t *listener = timer->data;
	int64_t now_us = skh_clock_boot_us();
	GList *next;

	for (GList *item = listener->connections.head; item; item = next) {
		skh_caller_conn_t *conn = item->data;

		next = item->next;
		if (conn->phase_until_us != 0 && now_us >= conn->phase_until_us)
			end_phase(conn);
	}
}

static void start_sweep(uv_loop_t *loop, skh_listener_t *listener)
{
	(void)uv_timer_init(loop, &listener->sweep);
	listener->sweep.data = listener;
	(void)uv_timer_start(&listener->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
}

skh_listener_t *skh_listener_start(uv_loop_t *loop, const char *address,
				   const skh_listener_ops_t *ops, void *context, skh_error_t *err)
{
	skh_listener_t *listener = g_new0(skh_listener_t, 1);
	struct sockaddr_in parsed;
	int status;

	listener->ops = ops;
	listener->context = context;
	listener->limits = (skh_caller_limits_t){ DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES,
						  DEFAULT_TIMEOUT_US, DEFAULT_TIMEOUT_US };
	g_queue_init(&listener->connections);
	if (!skh_address_parse(address, &parsed)) {
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "\"%s\" is no address", address);
		g_free(listener);
		return NULL;
	}
	(void)uv_tcp_init(loop, &listener->tcp);
	listener->tcp.data = listener;
	status = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&parsed, 0);
	if (status == 0)
		status = uv_listen((uv_stream_t *)&listener->tcp, BACKLOG, on_connection);
	start_sweep(loop, listener);
	if (status == 0)
		return listener;
	(void)skh_error_set(err, SKH_CONFIG_INVALID, "can't listen on %s: %s", address,
			    uv_strerror(status));
	skh_listener_close(listener);
	return NULL;
}

void skh_listener_set_limits(skh_listener_t *listener, const skh_caller_limits_t *limits)
{
	listener->limits = *limits;
	if (limits->header_timeout_us == 0)
		listener->limits.header_timeout_us = DEFAULT_TIMEOUT_US;
	if (limits->idle_timeout_us == 0)
		listener->limits.idle_timeout_us = DEFAULT_TIMEOUT_US;
}

void skh_listener_drain(skh_listener_t *listener)
{
	int64_t now_us = skh_clock_boot_us();

	listener->retiring = true;
	for (GList *item = listener->connections.head; item; item = item->next) {
		skh_caller_conn_t *conn = item->data;

		if (conn->phase == PHASE_IDLE)
			conn->phase_until_us =
				now_us + (int64_t)(skh_random_u64() % RETIRE_SPREAD_US);
	}
}

void skh_listener_set_close_after_response(skh_listener_t *listener, bool away)
{
	listener->away = away;
}

void skh_listener_stop_accepting(skh_listener_t *listener)
{
	if (!uv_is_closing((uv_handle_t *)&listener->tcp))
		uv_close((uv_handle_t *)&listener->tcp, NULL);
}

void skh_listener_close(skh_listener_t *listener)
{
	GList *item;

	if (listener->closed)
		return;
	listener->closed = true;
	skh_listener_stop_accepting(listener);
	uv_close((uv_handle_t *)&listener->sweep, NULL);
	while ((item = listener->connections.head) != NULL)
		lose_caller(item->data);
}

uint32_t skh_listener_count_connections(const skh_listener_t *listener)
{
	return g_queue_get_length((GQueue *)&listener->connections);
}

void skh_listener_free(skh_listener_t *listener)
{
	g_free(listener);
}
