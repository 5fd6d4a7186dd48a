#include "downstream.h"

#include "address.h"
#include "clock.h"
#include "log.h"
#include "metrics.h"

#include <inttypes.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>

#define PART			  "http"
#define LISTEN_BACKLOG		  512
#define TIMEOUT_CHECK_INTERVAL_MS 100
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
/* With a memory limit, a caller for which bytes wait is disconnected if it reads none for this long. */
#define STALL_TIMEOUT_US (5 * SKH_US_PER_S)
/* If two checks are further apart, this process was suspended and not the caller silent. */
#define MAX_CHECK_GAP_US (1 * SKH_US_PER_S)
/*
 * A request whose body finds no room within this time is rejected as not run, so that its caller
 * can try another gateway while there is time.
 */
#define ROOM_TIMEOUT_US	 (1 * SKH_US_PER_S)
#define ROOM_RETRY_AFTER "0.5" /* seconds */
/* Assumed for a request body of unknown length; most are smaller. Corrected as the body arrives. */
#define CHUNKED_BODY_BYTES ((size_t)64 << 10)

struct skh_listener {
	uv_tcp_t tcp;
	uv_timer_t timeout_check_timer;
	const skh_listener_ops_t *ops;
	void *context;
	skh_caller_limits_t limits;
	skh_memory_budget_t *memory; /* NULL for no limit */
	int64_t last_timeout_check_us;
	GQueue connections;
	GQueue waiting_for_room; /* connections whose request body is not read yet */
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
	/* Memory limit: */
	bool is_read_paused;
	bool waits_for_room; /* in the listener's waiting_for_room */
	bool owes_continue;  /* the caller waits for "100 Continue" */
	GList room_link;
	size_t body_charge;	   /* bytes of the request that the memory budget counts */
	size_t input_charge;	   /* the same of @pending_input */
	size_t queue_charge;	   /* memory of the bytes that wait to be sent */
	uint64_t written_bytes;	   /* passed to the socket or queued for it since the start */
	uint64_t delivered_bytes;  /* of these, received by the caller at the last check */
	int64_t stall_deadline_us; /* 0 while no bytes wait */
};

typedef struct write_op {
	uv_write_t request;
	skh_caller_conn_t *conn;
	skh_buffer_t bytes;
} write_op_t;

static char read_buffer[64 << 10];

static void parse_requests(skh_caller_conn_t *conn);
static void on_read(uv_stream_t *stream, ssize_t n_read, const uv_buf_t *buffer);
static void alloc_buffer(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buffer);

/* --- Memory of a connection --- */

static bool has_memory_limit(const skh_caller_conn_t *conn)
{
	return skh_memory_budget_has_limit(conn->listener->memory);
}

static void set_charge(skh_caller_conn_t *conn, size_t *charge, size_t bytes)
{
	skh_memory_budget_remove(conn->listener->memory, SKH_MEMORY_REQUESTS, *charge);
	skh_memory_budget_add(conn->listener->memory, SKH_MEMORY_REQUESTS, bytes);
	*charge = bytes;
}

static void count_input(skh_caller_conn_t *conn)
{
	if (has_memory_limit(conn))
		skh_buffer_shrink(&conn->pending_input);
	set_charge(conn, &conn->input_charge, conn->pending_input.capacity);
}

static void stop_waiting_for_room(skh_caller_conn_t *conn)
{
	if (!conn->waits_for_room)
		return;
	conn->waits_for_room = false;
	g_queue_unlink(&conn->listener->waiting_for_room, &conn->room_link);
}

/* A request behind responses that the caller has not read yet is not served. */
static bool is_held_by_backlog(const skh_caller_conn_t *conn)
{
	return has_memory_limit(conn) && conn->phase == PHASE_IDLE &&
	       skh_caller_conn_has_write_backlog(conn);
}

static bool can_read(const skh_caller_conn_t *conn)
{
	if (!has_memory_limit(conn) || conn->phase == PHASE_LINGERING)
		return true;
	if (conn->waits_for_room)
		return false;
	/* Without input nothing is lost by reading, and a caller that disconnects is noticed. */
	return conn->pending_input.len == 0 ||
	       (conn->phase != PHASE_SERVING && !is_held_by_backlog(conn)) ||
	       conn->pending_input.len <
		       MIN(skh_memory_budget_connection_limit(conn->listener->memory),
			   MAX_PIPELINED_BYTES / 2);
}

static void update_reading(skh_caller_conn_t *conn)
{
	bool is_paused = !can_read(conn);

	if (conn->phase == PHASE_CLOSED || is_paused == conn->is_read_paused)
		return;
	conn->is_read_paused = is_paused;
	if (is_paused) {
		skh_memory_budget_add(conn->listener->memory, SKH_MEMORY_UNREAD,
				      SKH_MEMORY_SOCKET_BUFFER_BYTES);
		(void)uv_read_stop((uv_stream_t *)&conn->tcp);
		return;
	}
	skh_memory_budget_remove(conn->listener->memory, SKH_MEMORY_UNREAD,
				 SKH_MEMORY_SOCKET_BUFFER_BYTES);
	(void)uv_read_start((uv_stream_t *)&conn->tcp, alloc_buffer, on_read);
}

static void send_continue(skh_caller_conn_t *conn);

static void admit_body(skh_caller_conn_t *conn, size_t bytes)
{
	set_charge(conn, &conn->body_charge, bytes);
	conn->phase_deadline_us = skh_clock_boot_us() + conn->listener->limits.idle_timeout_us;
	send_continue(conn);
}

/* Memory that the body of the request is expected to take: a buffer grows by doubling. */
static size_t body_size(const skh_caller_conn_t *conn)
{
	const http_parser *parser = &conn->request.parser;
	size_t bytes = parser->flags & F_CONTENTLENGTH ? (size_t)parser->content_length : 0;
	size_t capacity = 1;

	if (parser->flags & F_CHUNKED)
		bytes = MIN(conn->request.max_body_bytes, CHUNKED_BODY_BYTES);
	while (bytes > 0 && capacity <= bytes && capacity < SIZE_MAX / 2)
		capacity *= 2;
	return bytes > 0 ? capacity : 0;
}

static void wait_for_room(skh_caller_conn_t *conn)
{
	conn->waits_for_room = true;
	conn->room_link.data = conn;
	g_queue_push_tail_link(&conn->listener->waiting_for_room, &conn->room_link);
	conn->phase_deadline_us = skh_clock_boot_us() + ROOM_TIMEOUT_US;
	skh_metrics_add(SKH_COUNT_REQUESTS_DELAYED, 1);
}

/* Admits waiting request bodies in the order in which their heads came. */
static void admit_waiting(skh_listener_t *listener)
{
	GList *link;

	while ((link = listener->waiting_for_room.head) != NULL) {
		skh_caller_conn_t *conn = link->data;
		size_t bytes = body_size(conn);

		if (!skh_memory_budget_admits_request(listener->memory, bytes))
			return;
		stop_waiting_for_room(conn);
		admit_body(conn, bytes);
		update_reading(conn);
	}
}

static void release_request(skh_caller_conn_t *conn)
{
	skh_buffer_free(&conn->request.body);
	set_charge(conn, &conn->body_charge, 0);
	admit_waiting(conn->listener);
}

/* --- Connections --- */

static void on_closed(uv_handle_t *handle)
{
	skh_caller_conn_t *conn = handle->data;

	skh_http_message_free(&conn->request);
	skh_buffer_free(&conn->pending_input);
	set_charge(conn, &conn->input_charge, 0);
	set_charge(conn, &conn->body_charge, 0);
	g_free(conn);
}

/* Takes the connection out of all lists; the handle remains to be closed. */
static void retire_conn(skh_caller_conn_t *conn)
{
	stop_waiting_for_room(conn);
	if (conn->is_read_paused)
		skh_memory_budget_remove(conn->listener->memory, SKH_MEMORY_UNREAD,
					 SKH_MEMORY_SOCKET_BUFFER_BYTES);
	conn->phase = PHASE_CLOSED;
	g_queue_unlink(&conn->listener->connections, &conn->link);
}

static void close_conn(skh_caller_conn_t *conn)
{
	if (conn->phase == PHASE_CLOSED)
		return;
	retire_conn(conn);
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

/* Small events take more memory for the operation than for their bytes. */
static size_t write_op_size(const write_op_t *write_op)
{
	return sizeof(*write_op) + write_op->bytes.capacity;
}

static void free_write_op(write_op_t *write_op)
{
	skh_memory_budget_remove(write_op->conn->listener->memory, SKH_MEMORY_TO_CALLERS,
				 write_op_size(write_op));
	write_op->conn->queue_charge -= write_op_size(write_op);
	skh_buffer_free(&write_op->bytes);
	g_free(write_op);
}

static void on_written(uv_write_t *request, int status)
{
	write_op_t *write_op = (write_op_t *)request;
	skh_caller_conn_t *conn = write_op->conn;

	free_write_op(write_op);
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
	if (conn->phase == PHASE_IDLE) {
		parse_requests(conn);
		update_reading(conn);
	}
}

/* Takes ownership of the bytes of @buffer. */
static void write_buffer(skh_caller_conn_t *conn, skh_buffer_t *buffer)
{
	uv_buf_t bytes = uv_buf_init((char *)buffer->data, (unsigned int)buffer->len);
	int n_written = uv_try_write((uv_stream_t *)&conn->tcp, &bytes, 1);
	write_op_t *write_op;

	conn->written_bytes += buffer->len;
	if (n_written == (int)buffer->len) {
		skh_buffer_free(buffer);
		return;
	}
	if (n_written > 0)
		skh_buffer_consume(buffer, (size_t)n_written);
	if (has_memory_limit(conn))
		skh_buffer_shrink(buffer);
	write_op = g_new0(write_op_t, 1);
	write_op->conn = conn;
	write_op->bytes = *buffer;
	skh_memory_budget_add(conn->listener->memory, SKH_MEMORY_TO_CALLERS,
			      write_op_size(write_op));
	conn->queue_charge += write_op_size(write_op);
	*buffer = (skh_buffer_t)SKH_BUFFER_INIT;
	bytes = uv_buf_init((char *)write_op->bytes.data, (unsigned int)write_op->bytes.len);
	if (uv_write(&write_op->request, (uv_stream_t *)&conn->tcp, &bytes, 1, on_written) == 0)
		return;
	free_write_op(write_op);
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
	size_t waiting_bytes =
		has_memory_limit(conn)
			? conn->queue_charge
			: uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);

	return waiting_bytes > skh_memory_budget_connection_limit(conn->listener->memory);
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

/* The response has been sent; the caller has the linger time from now on. */
static void on_shutdown(uv_shutdown_t *request, int status)
{
	skh_caller_conn_t *conn = request->handle->data;

	if (status == 0 && conn->phase == PHASE_LINGERING)
		conn->phase_deadline_us = skh_clock_boot_us() + LINGER_TIMEOUT_US;
	g_free(request);
}

/*
 * Shuts down the write side and waits for the caller to close: closing a socket with
 * unread bytes sends a reset, which can destroy the response on its way.
 */
static void begin_linger(skh_caller_conn_t *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);
	bool has_queue = uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) > 0;

	stop_waiting_for_room(conn);
	conn->phase = PHASE_LINGERING;
	/* A caller that reads slowly gets as much time as one that keeps its connection open. */
	conn->phase_deadline_us =
		skh_clock_boot_us() +
		(has_memory_limit(conn) && has_queue
			 ? MAX(conn->listener->limits.idle_timeout_us, LINGER_TIMEOUT_US)
			 : LINGER_TIMEOUT_US);
	update_reading(conn);
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
	release_request(conn);
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
	update_reading(conn);
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
	if (err->kind == SKH_OVERLOADED)
		head.headers = "Content-Type: text/plain\r\nRetry-After: " ROOM_RETRY_AFTER "\r\n";
	conn->keep_alive = false;
	skh_caller_conn_begin_response(conn, &head);
	skh_caller_conn_write(conn, text);
	begin_linger(conn);
}

static void send_continue(skh_caller_conn_t *conn)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	if (!conn->owes_continue)
		return;
	conn->owes_continue = false;
	skh_buffer_append_string(&out, "HTTP/1.1 100 Continue\r\n\r\n");
	write_buffer(conn, &out);
}

static bool on_request_head(void *context, skh_http_message_t *request)
{
	skh_caller_conn_t *conn = context;
	const char *expect = skh_http_message_header(request, "Expect");
	size_t bytes;

	if (request->parser.http_major != 1 || request->parser.method == HTTP_CONNECT)
		return false;
	bytes = body_size(conn);
	conn->owes_continue = expect && g_ascii_strcasecmp(expect, "100-continue") == 0;
	/* Requests that wait are admitted first. */
	if (bytes == 0 || (g_queue_is_empty(&conn->listener->waiting_for_room) &&
			   skh_memory_budget_admits_request(conn->listener->memory, bytes)))
		admit_body(conn, bytes);
	else
		wait_for_room(conn);
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
	/* The whole body came with the head. */
	stop_waiting_for_room(conn);
	set_charge(conn, &conn->body_charge, conn->request.body.capacity);
	conn->phase = PHASE_SERVING;
	conn->phase_deadline_us = 0;
	conn->keep_alive = skh_http_message_can_keep_alive(&conn->request);
	conn->listener->ops->on_request(conn->listener->context, conn, &conn->request);
}

/* Parses the pending input. Bytes behind a complete request wait for its response to end. */
static void parse_requests(skh_caller_conn_t *conn)
{
	while (conn->pending_input.len > 0 && !is_held_by_backlog(conn) &&
	       (conn->phase == PHASE_IDLE || conn->phase == PHASE_READING)) {
		skh_error_t err;
		size_t consumed;

		if (conn->phase == PHASE_IDLE)
			begin_request(conn);
		if (!skh_http_message_feed(&conn->request, skh_buffer_chunk(&conn->pending_input),
					   &consumed, &err)) {
			reject(conn, &err);
			break;
		}
		skh_buffer_consume(&conn->pending_input, consumed);
		if (conn->request.body.capacity > conn->body_charge)
			set_charge(conn, &conn->body_charge, conn->request.body.capacity);
		if (conn->request.is_complete)
			serve_request(conn);
	}
	if (conn->phase != PHASE_CLOSED)
		count_input(conn);
}

static void alloc_buffer(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buffer)
{
	const skh_caller_conn_t *conn = handle->data;

	(void)suggested_size;
	*buffer = uv_buf_init(read_buffer, (unsigned int)skh_memory_budget_read_size(
						   conn->listener->memory, sizeof(read_buffer)));
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
	/* With a memory limit, reading stops instead; see can_read(). */
	if (conn->phase == PHASE_SERVING && !has_memory_limit(conn) &&
	    conn->pending_input.len + (size_t)n_read > MAX_PIPELINED_BYTES) {
		disconnect(conn);
		return;
	}
	skh_buffer_append(&conn->pending_input, skh_chunk_make(buffer->base, (size_t)n_read));
	parse_requests(conn);
	update_reading(conn);
}

static void limit_socket_buffers(skh_caller_conn_t *conn)
{
	int receive_bytes = SKH_MEMORY_SOCKET_BUFFER_BYTES;
	int send_bytes = SKH_MEMORY_SOCKET_BUFFER_BYTES;

	if (!has_memory_limit(conn))
		return;
	(void)uv_recv_buffer_size((uv_handle_t *)&conn->tcp, &receive_bytes);
	(void)uv_send_buffer_size((uv_handle_t *)&conn->tcp, &send_bytes);
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
	limit_socket_buffers(conn);
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
	if (conn->waits_for_room)
		(void)skh_error_set(&err, SKH_OVERLOADED, "no memory was free for the request");
	else
		(void)skh_error_set(&err, SKH_REQUEST_TIMEOUT,
				    "the request was not received in time");
	reject(conn, &err);
}

/* Bytes that the caller's host has acknowledged, of all that were written. */
static uint64_t delivered_bytes(const skh_caller_conn_t *conn)
{
	size_t queued_bytes = uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
	int unacked_bytes = 0;
	uv_os_fd_t fd;

	/* libuv reports progress only once a third of the kernel's buffer is free. */
	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0)
		(void)ioctl(fd, SIOCOUTQ, &unacked_bytes);
	return conn->written_bytes - queued_bytes - (uint64_t)unacked_bytes;
}

/* Whether bytes have been waiting for the caller for too long without any being delivered. */
static bool is_stalled(skh_caller_conn_t *conn, int64_t now_us)
{
	uint64_t delivered;

	if (uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) == 0) {
		conn->stall_deadline_us = 0;
		return false;
	}
	delivered = delivered_bytes(conn);
	if (conn->stall_deadline_us != 0 && delivered == conn->delivered_bytes)
		return now_us >= conn->stall_deadline_us;
	conn->delivered_bytes = delivered;
	conn->stall_deadline_us = now_us + STALL_TIMEOUT_US;
	return false;
}

/*
 * Resets the connection, so that the kernel does not keep what it could not send. The exchange ends
 * as with a caller that disconnects.
 */
static void close_stalled(skh_caller_conn_t *conn)
{
	void *exchange = conn->exchange;

	skh_metrics_add(SKH_COUNT_STALLED_CALLERS, 1);
	skh_log(SKH_LOG_INFO, PART, "Caller is disconnected; it does not read its response.",
		"waiting_bytes=%zu timeout_ms=%" PRId64 " in_response=%d",
		uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp),
		STALL_TIMEOUT_US / SKH_US_PER_MS, exchange != NULL);
	conn->exchange = NULL;
	retire_conn(conn);
	/* Not possible once the write side is being shut down. */
	if (uv_tcp_close_reset(&conn->tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&conn->tcp, on_closed);
	if (exchange)
		conn->listener->ops->on_disconnect(conn->listener->context, exchange);
}

static void on_timeout_check(uv_timer_t *timer)
{
	skh_listener_t *listener = timer->data;
	int64_t now_us = skh_clock_boot_us();
	int64_t gap_us = now_us - listener->last_timeout_check_us;
	bool has_limit = skh_memory_budget_has_limit(listener->memory);
	GList *next;

	listener->last_timeout_check_us = now_us;
	for (GList *link = listener->connections.head; link; link = next) {
		skh_caller_conn_t *conn = link->data;

		next = link->next;
		if (gap_us > MAX_CHECK_GAP_US && conn->stall_deadline_us != 0)
			conn->stall_deadline_us = now_us + STALL_TIMEOUT_US;
		if (conn->phase_deadline_us != 0 && now_us >= conn->phase_deadline_us)
			end_expired_phase(conn);
		else if (has_limit && is_stalled(conn, now_us))
			close_stalled(conn);
	}
	admit_waiting(listener);
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
	g_queue_init(&listener->waiting_for_room);
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

void skh_listener_set_memory(skh_listener_t *listener, skh_memory_budget_t *memory)
{
	listener->memory = memory;
}

void skh_listener_drain(skh_listener_t *listener)
{
	int64_t now_us = skh_clock_boot_us();

	listener->is_draining = true;
	for (GList *link = listener->connections.head; link; link = link->next) {
		skh_caller_conn_t *conn = link->data;

		if (conn->phase == PHASE_IDLE && has_memory_limit(conn) && conn->queue_charge > 0)
			begin_linger(conn);
		else if (conn->phase == PHASE_IDLE)
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

bool skh_listener_has_unsent(const skh_listener_t *listener)
{
	for (GList *link = listener->connections.head; link; link = link->next) {
		const skh_caller_conn_t *conn = link->data;

		if (has_memory_limit(conn) && conn->queue_charge > 0)
			return true;
	}
	return false;
}

uint32_t skh_listener_count_connections(const skh_listener_t *listener)
{
	return g_queue_get_length((GQueue *)&listener->connections);
}

void skh_listener_free(skh_listener_t *listener)
{
	g_free(listener);
}
