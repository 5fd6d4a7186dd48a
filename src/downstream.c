#include "downstream.h"

#include "address.h"
#include "clock.h"
#include "log.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>

#define PART			  "http"
#define LISTEN_BACKLOG		  512
#define TIMEOUT_CHECK_INTERVAL_MS 100
/* Reading from the backend server pauses while more bytes are queued for a slow caller. */
#define WRITE_BACKLOG_BYTES (256 << 10)
/* A caller that sends more bytes before the response to its request ends is disconnected. */
#define MAX_PIPELINED_BYTES (64 << 10)
/* Limits until a configuration is loaded; the timeout also replaces one that is set to 0. */
#define DEFAULT_MAX_HEADER_BYTES (16 << 10)
#define DEFAULT_MAX_BODY_BYTES	 (4 << 20)
#define DEFAULT_TIMEOUT_US	 (15 * SKH_US_PER_S)
/* A planned stop closes idle connections at random times within this period. */
#define DRAIN_SPREAD_US (1 * SKH_US_PER_S)
/* Time for a caller to read the last response before its connection is closed. */
#define LINGER_TIMEOUT_US (1 * SKH_US_PER_S)

struct skh_listener {
	uv_tcp_t tcp;
	uv_timer_t timeout_check_timer;
	const skh_listener_ops_t *ops;
	void *context;
	skh_caller_limits_t limits;
	GQueue connections;
	bool is_draining;
	bool close_after_response; /* callers have to reconnect, to reach another gateway */
	bool is_closed;
};

typedef enum phase {
	PHASE_IDLE,	 /* no byte of a request received */
	PHASE_READING,	 /* request partly received */
	PHASE_SERVING,	 /* response not ended */
	PHASE_LINGERING, /* response ended; waiting for the caller to close */
	PHASE_CLOSED
} phase_t;

struct skh_caller_conn {
	uv_tcp_t tcp;
	skh_listener_t *listener;
	GList link;
	phase_t phase;
	skh_http_message_t request;
	skh_buffer_t pending_input; /* received and not parsed yet */
	void *exchange;
	int64_t received_us;
	int64_t phase_deadline_us; /* 0 for none */
	bool chunked;
	bool keep_alive;	    /* connection stays open after the response */
	bool writable_callback_due; /* on_writable() is due when the backlog has drained */
};

typedef struct write_op {
	uv_write_t request;
	skh_caller_conn_t *conn;
	skh_buffer_t bytes;
} write_op_t;

static char read_buffer[64 << 10];

static void parse_requests(skh_caller_conn_t *conn);

static void on_closed(uv_handle_t *handle)
{
	skh_caller_conn_t *conn = handle->data;

	skh_http_message_free(&conn->request);
	skh_buffer_free(&conn->pending_input);
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

static void disconnect(skh_caller_conn_t *conn)
{
	void *exchange = conn->exchange;

	conn->exchange = NULL;
	close_conn(conn);
	if (exchange)
		conn->listener->ops->on_disconnect(conn->listener->context, exchange);
}

static void on_written(uv_write_t *request, int status)
{
	write_op_t *write_op = (write_op_t *)request;
	skh_caller_conn_t *conn = write_op->conn;

	skh_buffer_free(&write_op->bytes);
	g_free(write_op);
	if (conn->phase == PHASE_CLOSED)
		return;
	if (status < 0) {
		disconnect(conn);
		return;
	}
	if (conn->writable_callback_due && !skh_caller_conn_has_write_backlog(conn)) {
		conn->writable_callback_due = false;
		if (conn->exchange)
			conn->listener->ops->on_writable(conn->listener->context, conn->exchange);
	}
}

/* Takes ownership of the bytes of @buffer. */
static void write_buffer(skh_caller_conn_t *conn, skh_buffer_t *buffer)
{
	uv_buf_t bytes = uv_buf_init((char *)buffer->data, (unsigned int)buffer->len);
	int n_written = uv_try_write((uv_stream_t *)&conn->tcp, &bytes, 1);
	write_op_t *write_op;

	if (n_written == (int)buffer->len) {
		skh_buffer_free(buffer);
		return;
	}
	if (n_written > 0)
		skh_buffer_consume(buffer, (size_t)n_written);
	write_op = g_new0(write_op_t, 1);
	write_op->conn = conn;
	write_op->bytes = *buffer;
	*buffer = (skh_buffer_t)SKH_BUFFER_INIT;
	bytes = uv_buf_init((char *)write_op->bytes.data, (unsigned int)write_op->bytes.len);
	if (uv_write(&write_op->request, (uv_stream_t *)&conn->tcp, &bytes, 1, on_written) == 0)
		return;
	skh_buffer_free(&write_op->bytes);
	g_free(write_op);
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
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) >
	       WRITE_BACKLOG_BYTES;
}

void skh_caller_conn_begin_response(skh_caller_conn_t *conn, const skh_response_head_t *head)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	conn->keep_alive = conn->keep_alive && !conn->listener->is_draining &&
			   !conn->listener->close_after_response;
	conn->chunked = head->is_chunked && !head->no_body;
	skh_buffer_printf(&out, "HTTP/1.1 %" PRId32 " %s\r\n%s", head->status, head->reason,
			  head->headers);
	if (head->is_chunked)
		skh_buffer_append_string(&out, "Transfer-Encoding: chunked\r\n");
	else if (head->status != 204 && head->status != 304)
		skh_buffer_printf(&out, "Content-Length: %zu\r\n", head->content_length);
	skh_buffer_append_string(&out, conn->keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
	write_buffer(conn, &out);
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
	write_buffer(conn, &out);
	conn->writable_callback_due =
		conn->writable_callback_due || skh_caller_conn_has_write_backlog(conn);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	(void)status;
	g_free(request);
}

/*
 * Shuts down the write side and waits for the caller to close: closing a socket with
 * unread bytes sends a reset, which can destroy the response on its way.
 */
static void begin_linger(skh_caller_conn_t *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	conn->phase = PHASE_LINGERING;
	conn->phase_deadline_us = skh_clock_boot_us() + LINGER_TIMEOUT_US;
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_shutdown) != 0)
		g_free(request);
}

static void wait_for_request(skh_caller_conn_t *conn)
{
	conn->phase = PHASE_IDLE;
	conn->phase_deadline_us = skh_clock_boot_us() + conn->listener->limits.idle_timeout_us;
}

void skh_caller_conn_end_response(skh_caller_conn_t *conn)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	conn->exchange = NULL;
	if (conn->phase == PHASE_CLOSED)
		return;
	if (conn->chunked) {
		skh_buffer_append_string(&out, "0\r\n\r\n");
		write_buffer(conn, &out);
	}
	conn->chunked = false;
	/* A response begun before a planned stop was sent without "Connection: close". */
	if (!conn->keep_alive || conn->listener->is_draining) {
		begin_linger(conn);
		return;
	}
	wait_for_request(conn);
	parse_requests(conn);
}

void skh_caller_conn_abort(skh_caller_conn_t *conn)
{
	conn->exchange = NULL;
	close_conn(conn);
}

/* Responds without an exchange to a request that is invalid, too large or too slow. */
static void reject(skh_caller_conn_t *conn, const skh_error_t *err)
{
	skh_response_head_t head = { .status = skh_error_kind_http_status(err->kind),
				     .reason = "Refused",
				     .headers = "Content-Type: text/plain\r\n" };
	skh_chunk_t text = skh_chunk_from_string(err->text);

	skh_log(SKH_LOG_INFO, PART, "Request rejected: it is invalid, too large or too slow.",
		"kind=%s reason=%s", skh_error_kind_name(err->kind), err->text);
	head.content_length = text.len;
	conn->keep_alive = false;
	skh_caller_conn_begin_response(conn, &head);
	skh_caller_conn_write(conn, text);
	begin_linger(conn);
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
		write_buffer(conn, &out);
	}
	conn->phase_deadline_us = skh_clock_boot_us() + conn->listener->limits.idle_timeout_us;
	return true;
}

static const skh_http_message_ops_t request_ops = { .on_head = on_request_head };

static void begin_request(skh_caller_conn_t *conn)
{
	conn->phase = PHASE_READING;
	conn->received_us = skh_clock_boot_us();
	conn->phase_deadline_us = conn->received_us + conn->listener->limits.header_timeout_us;
	skh_http_message_reset(&conn->request, HTTP_REQUEST, &request_ops, conn);
	conn->request.max_header_bytes = conn->listener->limits.max_header_bytes;
	conn->request.max_body_bytes = conn->listener->limits.max_body_bytes;
}

static void serve_request(skh_caller_conn_t *conn)
{
	conn->phase = PHASE_SERVING;
	conn->phase_deadline_us = 0;
	conn->keep_alive = skh_http_message_can_keep_alive(&conn->request);
	conn->listener->ops->on_request(conn->listener->context, conn, &conn->request);
}

/* Parses the pending input. Bytes behind a complete request wait for its response to end. */
static void parse_requests(skh_caller_conn_t *conn)
{
	while (conn->pending_input.len > 0 &&
	       (conn->phase == PHASE_IDLE || conn->phase == PHASE_READING)) {
		skh_error_t err;
		size_t consumed;

		if (conn->phase == PHASE_IDLE)
			begin_request(conn);
		if (!skh_http_message_feed(&conn->request, skh_buffer_chunk(&conn->pending_input),
					   &consumed, &err)) {
			reject(conn, &err);
			return;
		}
		skh_buffer_consume(&conn->pending_input, consumed);
		if (conn->request.is_complete)
			serve_request(conn);
	}
}

static void alloc_buffer(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buffer)
{
	(void)handle;
	(void)suggested_size;
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n_read, const uv_buf_t *buffer)
{
	skh_caller_conn_t *conn = stream->data;

	if (n_read == 0 || conn->phase == PHASE_CLOSED)
		return;
	if (n_read < 0) {
		disconnect(conn);
		return;
	}
	if (conn->phase == PHASE_LINGERING)
		return;
	if (conn->phase == PHASE_SERVING &&
	    conn->pending_input.len + (size_t)n_read > MAX_PIPELINED_BYTES) {
		disconnect(conn);
		return;
	}
	skh_buffer_append(&conn->pending_input, skh_chunk_make(buffer->base, (size_t)n_read));
	parse_requests(conn);
}

static void on_connection(uv_stream_t *stream, int status)
{
	skh_listener_t *listener = stream->data;
	skh_caller_conn_t *conn;

	if (status < 0) {
		skh_log(SKH_LOG_WARNING, PART, "Connection could not be accepted.", "reason=%s",
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
	wait_for_request(conn);
	(void)uv_read_start((uv_stream_t *)&conn->tcp, alloc_buffer, on_read);
}

static void end_expired_phase(skh_caller_conn_t *conn)
{
	skh_error_t err;

	if (conn->phase != PHASE_READING) {
		close_conn(conn);
		return;
	}
	(void)skh_error_set(&err, SKH_REQUEST_TIMEOUT, "the request was not received in time");
	reject(conn, &err);
}

static void on_timeout_check(uv_timer_t *timer)
{
	skh_listener_t *listener = timer->data;
	int64_t now_us = skh_clock_boot_us();
	GList *next;

	for (GList *link = listener->connections.head; link; link = next) {
		skh_caller_conn_t *conn = link->data;

		next = link->next;
		if (conn->phase_deadline_us != 0 && now_us >= conn->phase_deadline_us)
			end_expired_phase(conn);
	}
}

static void start_timeout_check(uv_loop_t *loop, skh_listener_t *listener)
{
	(void)uv_timer_init(loop, &listener->timeout_check_timer);
	listener->timeout_check_timer.data = listener;
	(void)uv_timer_start(&listener->timeout_check_timer, on_timeout_check,
			     TIMEOUT_CHECK_INTERVAL_MS, TIMEOUT_CHECK_INTERVAL_MS);
}

skh_listener_t *skh_listener_start(uv_loop_t *loop, const char *address,
				   const skh_listener_ops_t *ops, void *context, skh_error_t *err)
{
	skh_listener_t *listener = g_new0(skh_listener_t, 1);
	struct sockaddr_in socket_address;
	int status;

	listener->ops = ops;
	listener->context = context;
	listener->limits = (skh_caller_limits_t){ DEFAULT_MAX_HEADER_BYTES, DEFAULT_MAX_BODY_BYTES,
						  DEFAULT_TIMEOUT_US, DEFAULT_TIMEOUT_US };
	g_queue_init(&listener->connections);
	if (!skh_address_parse(address, &socket_address)) {
		(void)skh_error_set(err, SKH_CONFIG_INVALID,
				    "\"%s\" is not an IPv4 address and port", address);
		g_free(listener);
		return NULL;
	}
	(void)uv_tcp_init(loop, &listener->tcp);
	listener->tcp.data = listener;
	status = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&socket_address, 0);
	if (status == 0)
		status = uv_listen((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG, on_connection);
	start_timeout_check(loop, listener);
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

	listener->is_draining = true;
	for (GList *link = listener->connections.head; link; link = link->next) {
		skh_caller_conn_t *conn = link->data;

		if (conn->phase == PHASE_IDLE)
			conn->phase_deadline_us =
				now_us + (int64_t)(skh_random_u64() % DRAIN_SPREAD_US);
	}
}

void skh_listener_set_close_after_response(skh_listener_t *listener, bool close_after_response)
{
	listener->close_after_response = close_after_response;
}

void skh_listener_stop_accepting(skh_listener_t *listener)
{
	if (!uv_is_closing((uv_handle_t *)&listener->tcp))
		uv_close((uv_handle_t *)&listener->tcp, NULL);
}

void skh_listener_close(skh_listener_t *listener)
{
	GList *link;

	if (listener->is_closed)
		return;
	listener->is_closed = true;
	skh_listener_stop_accepting(listener);
	uv_close((uv_handle_t *)&listener->timeout_check_timer, NULL);
	while ((link = listener->connections.head) != NULL)
		disconnect(link->data);
}

uint32_t skh_listener_count_connections(const skh_listener_t *listener)
{
	return g_queue_get_length((GQueue *)&listener->connections);
}

void skh_listener_free(skh_listener_t *listener)
{
	g_free(listener);
}
