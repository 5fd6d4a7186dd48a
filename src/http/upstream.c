#include "upstream.h"

#include "clock.h"
#include "log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define PART		     "upstream"
#define KEEPALIVE_IDLE_S     1 /* idle time before the first TCP keepalive probe */
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     3
/*
 * Interim responses and responses to other requests that are skipped before the one that is awaited, and
 * bytes of their bodies. A server that sends more sends them without end.
 */
#define MAX_SKIPPED_RESPONSES 32
#define MAX_SKIPPED_BYTES     ((size_t)1 << 20)
/* An hour; no connection stays idle for longer, whatever the server announces. */
#define MAX_KEEP_ALIVE_S 3600

typedef enum state {
	STATE_CONNECTING,
	STATE_BUSY,
	STATE_IDLE,
	STATE_CLOSED
} state_t;

struct skh_upstream_pool {
	uv_loop_t *loop;
	struct sockaddr_in address;
	const skh_upstream_pool_options_t *options;
	GQueue idle;		/* skh_upstream_t; the most recently used at the tail */
	guint connection_count; /* open connections, which refer to the pool */
	bool is_freed;
};

/* A connection; upstream.h uses it as the handle of the request that it carries. */
struct skh_upstream {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	skh_upstream_pool_t *pool;
	state_t state;
	const skh_upstream_ops_t *ops; /* NULL while no request is in flight */
	void *context;
	skh_http_message_t response;
	skh_buffer_t bytes; /* request not written yet */
	char *attempt_id;
	bool is_head_request;
	bool is_reused;	      /* the connection has carried another request before */
	bool request_written; /* write begun; the server may have received a part */
	bool write_pending;
	bool skip_response; /* response being read belongs to another request */
	uint32_t n_skipped; /* responses skipped since the request was sent */
	size_t skipped_bytes;
	bool must_close; /* not reusable for another request */
	bool is_paused;	 /* the response is not being read */
	int64_t idle_since_us;
	int64_t idle_timeout_us;
	int open_handles;
};

/* Owns its bytes, because the write may complete after the request has ended. */
typedef struct write_op {
	uv_write_t request;
	skh_upstream_t *upstream;
	skh_buffer_t bytes;
} write_op_t;

static char read_buffer[64 << 10]; /* loop's thread only; consumed within each on_read() */
static uint64_t opened_count;

uint64_t skh_upstream_pool_opened_count(void)
{
	return opened_count;
}

static void free_pool_if_unused(skh_upstream_pool_t *pool)
{
	if (pool->is_freed && pool->connection_count == 0)
		g_free(pool);
}

static void free_request_bytes(const skh_upstream_t *upstream, skh_buffer_t *bytes)
{
	skh_memory_budget_remove(upstream->pool->options->memory, SKH_MEMORY_REQUESTS,
				 bytes->capacity);
	skh_buffer_free(bytes);
}

/* What the kernel receives meanwhile is counted as a full socket buffer. */
static void set_paused(skh_upstream_t *upstream, bool paused)
{
	skh_memory_budget_t *memory = upstream->pool->options->memory;

	if (upstream->is_paused == paused)
		return;
	upstream->is_paused = paused;
	if (paused)
		skh_memory_budget_add(memory, SKH_MEMORY_UNREAD, SKH_MEMORY_SOCKET_BUFFER_BYTES);
	else
		skh_memory_budget_remove(memory, SKH_MEMORY_UNREAD, SKH_MEMORY_SOCKET_BUFFER_BYTES);
}

static void on_closed(uv_handle_t *handle)
{
	skh_upstream_t *upstream = handle->data;
	skh_upstream_pool_t *pool = upstream->pool;

	if (--upstream->open_handles > 0)
		return;
	skh_http_message_free(&upstream->response);
	free_request_bytes(upstream, &upstream->bytes);
	g_free(upstream->attempt_id);
	g_free(upstream);
	pool->connection_count--;
	free_pool_if_unused(pool);
}

/* Discards what the server has not read yet, which a frozen one would read when it resumes. */
static void close_with_reset(uv_tcp_t *tcp)
{
	if (uv_tcp_close_reset(tcp, on_closed) < 0)
		uv_close((uv_handle_t *)tcp, on_closed);
}

static void close_upstream(skh_upstream_t *upstream)
{
	bool is_sent = upstream->state == STATE_BUSY;

	if (upstream->state == STATE_CLOSED)
		return;
	if (upstream->state == STATE_IDLE)
		(void)g_queue_remove(&upstream->pool->idle, upstream);
	upstream->state = STATE_CLOSED;
	upstream->ops = NULL;
	set_paused(upstream, false);
	if (is_sent)
		close_with_reset(&upstream->tcp);
	else
		uv_close((uv_handle_t *)&upstream->tcp, on_closed);
	uv_close((uv_handle_t *)&upstream->timer, on_closed);
}

static void fail(skh_upstream_t *upstream, skh_upstream_error_t error)
{
	const skh_upstream_ops_t *ops = upstream->ops;
	void *context = upstream->context;
	bool request_written = upstream->request_written;

	close_upstream(upstream);
	if (ops)
		ops->on_error(context, error, request_written);
}

static void set_socket_options(skh_upstream_t *upstream)
{
	const int idle_s = KEEPALIVE_IDLE_S;
	const int interval_s = KEEPALIVE_INTERVAL_S;
	const int probes = KEEPALIVE_PROBES;
	const int enable = 1;
	const int socket_buffer_bytes = SKH_MEMORY_SOCKET_BUFFER_BYTES;
	unsigned int unacked_timeout_ms =
		(unsigned int)(upstream->pool->options->unacked_timeout_us / SKH_US_PER_MS);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&upstream->tcp, &fd) != 0)
		return;
	(void)uv_tcp_nodelay(&upstream->tcp, 1);
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof(enable));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
			 sizeof(unacked_timeout_ms));
	if (!skh_memory_budget_has_limit(upstream->pool->options->memory))
		return;
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes,
			 sizeof(socket_buffer_bytes));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes,
			 sizeof(socket_buffer_bytes));
}

static void on_written(uv_write_t *request, int status)
{
	write_op_t *write_op = (write_op_t *)request;
	skh_upstream_t *upstream = write_op->upstream;

	upstream->write_pending = false;
	free_request_bytes(upstream, &write_op->bytes);
	g_free(write_op);
	if (status < 0 && status != UV_ECANCELED && upstream->state == STATE_BUSY)
		fail(upstream, SKH_UPSTREAM_ERROR_CONNECTION_CLOSED);
}

static void write_request(skh_upstream_t *upstream)
{
	write_op_t *write_op = g_new0(write_op_t, 1);
	uv_buf_t buffer;

	write_op->upstream = upstream;
	write_op->bytes = upstream->bytes;
	upstream->bytes = (skh_buffer_t)SKH_BUFFER_INIT;
	upstream->request_written = true;
	upstream->write_pending = true;
	buffer = uv_buf_init((char *)write_op->bytes.data, (unsigned int)write_op->bytes.len);
	if (uv_write(&write_op->request, (uv_stream_t *)&upstream->tcp, &buffer, 1, on_written) ==
	    0)
		return;
	upstream->write_pending = false;
	free_request_bytes(upstream, &write_op->bytes);
	g_free(write_op);
	fail(upstream, SKH_UPSTREAM_ERROR_CONNECTION_CLOSED);
}

static void alloc_buffer(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buffer)
{
	const skh_upstream_t *upstream = handle->data;

	(void)suggested_size;
	*buffer = uv_buf_init(read_buffer,
			      (unsigned int)skh_memory_budget_read_size(
				      upstream->pool->options->memory, sizeof(read_buffer)));
}

/* The Keep-Alive header announces the server's idle timeout in seconds. */
static int64_t choose_idle_timeout_us(const skh_upstream_t *upstream)
{
	const char *keep_alive = skh_http_message_header(&upstream->response, "Keep-Alive");
	const char *timeout_param = keep_alive ? strstr(keep_alive, "timeout=") : NULL;
	int64_t timeout_us = upstream->pool->options->idle_timeout_us;

	if (timeout_param) {
		int64_t timeout_s = g_ascii_strtoll(timeout_param + strlen("timeout="), NULL, 10);
		int64_t server_timeout_us = CLAMP(timeout_s, 0, MAX_KEEP_ALIVE_S) * SKH_US_PER_S;

		/*
		 * Half of the announced timeout, because the server closes the connection when its
		 * timeout ends and the pool notices the close only after a delay.
		 */
		timeout_us = MIN(timeout_us, server_timeout_us / 2);
	}
	return timeout_us;
}

static void make_idle(skh_upstream_t *upstream)
{
	skh_upstream_pool_t *pool = upstream->pool;

	upstream->ops = NULL;
	upstream->idle_timeout_us = choose_idle_timeout_us(upstream);
	if (pool->is_freed || upstream->must_close || upstream->write_pending ||
	    upstream->idle_timeout_us <= 0 ||
	    !skh_http_message_can_keep_alive(&upstream->response)) {
		close_upstream(upstream);
		return;
	}
	/* The response may have ended in the bytes in which reading was paused. */
	if (upstream->is_paused)
		skh_upstream_set_paused(upstream, false);
	upstream->state = STATE_IDLE;
	upstream->idle_since_us = skh_clock_boot_us();
	g_queue_push_tail(&pool->idle, upstream);
	if (g_queue_get_length(&pool->idle) > pool->options->max_idle_connections)
		close_upstream(g_queue_peek_head(&pool->idle));
}

static const char *response_id(const skh_upstream_t *upstream, const skh_http_message_t *response)
{
	return skh_http_message_header(response, upstream->pool->options->attempt_id_header);
}

static bool is_matching_response(const skh_upstream_t *upstream, const skh_http_message_t *response)
{
	const char *id = response_id(upstream, response);

	if (!upstream->attempt_id)
		return true;
	/* A server that rejects a request may not have read the attempt id. */
	if (!id)
		return response->parser.status_code >= 400;
	return strcmp(id, upstream->attempt_id) == 0;
}

/*
 * A rejection without an id on a kept connection may be of an earlier request, sent once more: the
 * server may run this one.
 */
static bool is_doubtful_rejection(const skh_upstream_t *upstream,
				  const skh_http_message_t *response)
{
	return upstream->is_reused && upstream->attempt_id && !response_id(upstream, response) &&
	       response->parser.status_code >= 400;
}

static void log_response(const skh_upstream_t *upstream, const char *text, const char *reason)
{
	char host[INET_ADDRSTRLEN] = "";

	(void)uv_ip4_name(&upstream->pool->address, host, sizeof(host));
	skh_log(SKH_LOG_WARNING, PART, text, "id=%s server=%s:%u status=%u reason=%s",
		upstream->attempt_id ? upstream->attempt_id : "-", host,
		ntohs(upstream->pool->address.sin_port), upstream->response.parser.status_code,
		reason);
}

static bool on_head(void *context, skh_http_message_t *response)
{
	skh_upstream_t *upstream = context;

	response->skip_body = upstream->is_head_request;
	if (response->parser.status_code < 200)
		return true;
	if (is_doubtful_rejection(upstream, response)) {
		log_response(
			upstream,
			"Rejection on a kept connection names no request; the request may run.",
			"no attempt id");
		return false;
	}
	upstream->skip_response = !is_matching_response(upstream, response);
	if (upstream->skip_response)
		return true;
	return upstream->ops->on_head(upstream->context, response);
}

static void on_body(void *context, skh_chunk_t bytes)
{
	skh_upstream_t *upstream = context;

	if (upstream->skip_response)
		upstream->skipped_bytes += bytes.len;
	else if (upstream->ops)
		upstream->ops->on_body(upstream->context, bytes);
}

static const skh_http_message_ops_t response_ops = { .on_head = on_head, .on_body = on_body };

static void reset_response(skh_upstream_t *upstream)
{
	upstream->skip_response = false;
	skh_http_message_reset(&upstream->response, HTTP_RESPONSE, &response_ops, upstream);
}

/* Returns true to read on: an interim response or a response to another request was skipped. */
static bool finish_response(skh_upstream_t *upstream)
{
	const skh_upstream_ops_t *ops = upstream->ops;
	void *context = upstream->context;

	if (upstream->skip_response || upstream->response.parser.status_code < 200) {
		upstream->must_close = upstream->must_close || upstream->skip_response;
		upstream->n_skipped++;
		reset_response(upstream);
		return true;
	}
	upstream->ops = NULL;
	ops->on_end(context, &upstream->response);
	return false;
}

static bool has_skipped_too_much(const skh_upstream_t *upstream)
{
	return upstream->n_skipped > MAX_SKIPPED_RESPONSES ||
	       upstream->skipped_bytes > MAX_SKIPPED_BYTES;
}

static void parse_bytes(skh_upstream_t *upstream, skh_chunk_t bytes)
{
	while (bytes.len > 0) {
		skh_error_t err;
		size_t consumed;
		bool is_valid = skh_http_message_feed(&upstream->response, bytes, &consumed, &err);

		/* A callback may have canceled the request. */
		if (upstream->state == STATE_CLOSED)
			return;
		if (!is_valid) {
			log_response(upstream, "Response is invalid and counts as lost.", err.text);
			fail(upstream, SKH_UPSTREAM_ERROR_INVALID_RESPONSE);
			return;
		}
		bytes = skh_chunk_make(bytes.data + consumed, bytes.len - consumed);
		if (!upstream->response.is_complete || finish_response(upstream)) {
			if (!has_skipped_too_much(upstream))
				continue;
			log_response(upstream, "Response is invalid and counts as lost.",
				     "too many responses or bytes before it");
			fail(upstream, SKH_UPSTREAM_ERROR_INVALID_RESPONSE);
			return;
		}
		/* Bytes behind a complete response belong to no request. */
		upstream->must_close = upstream->must_close || bytes.len > 0;
		if (upstream->state != STATE_CLOSED)
			make_idle(upstream);
		return;
	}
}

/*
 * libuv reports UV_EOF for a hang-up without reading the socket error. A response
 * without Content-Length ends with its connection, so a reset must not pass for EOF.
 */
static bool is_clean_eof(const skh_upstream_t *upstream)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&upstream->tcp, &fd) != 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 || error != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void on_read(uv_stream_t *stream, ssize_t n_read, const uv_buf_t *buffer)
{
	skh_upstream_t *upstream = stream->data;

	if (n_read == 0)
		return;
	if (upstream->state == STATE_IDLE) {
		close_upstream(upstream);
		return;
	}
	if (n_read > 0) {
		parse_bytes(upstream, skh_chunk_make(buffer->base, (size_t)n_read));
		return;
	}
	if (n_read == UV_EOF && !upstream->skip_response && is_clean_eof(upstream) &&
	    skh_http_message_feed_eof(&upstream->response)) {
		upstream->must_close = true;
		(void)finish_response(upstream);
		close_upstream(upstream);
		return;
	}
	fail(upstream, SKH_UPSTREAM_ERROR_CONNECTION_CLOSED);
}

static void on_connected(uv_connect_t *request, int status)
{
	skh_upstream_t *upstream = request->data;

	if (upstream->state == STATE_CLOSED)
		return;
	if (status < 0) {
		fail(upstream, SKH_UPSTREAM_ERROR_UNREACHABLE);
		return;
	}
	if (upstream->ops->may_write && !upstream->ops->may_write(upstream->context)) {
		if (upstream->state != STATE_CLOSED)
			fail(upstream, SKH_UPSTREAM_ERROR_WITHDRAWN);
		return;
	}
	(void)uv_timer_stop(&upstream->timer);
	upstream->state = STATE_BUSY;
	set_socket_options(upstream);
	(void)uv_read_start((uv_stream_t *)&upstream->tcp, alloc_buffer, on_read);
	write_request(upstream);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	fail(timer->data, SKH_UPSTREAM_ERROR_UNREACHABLE);
}

static skh_upstream_t *new_upstream(skh_upstream_pool_t *pool)
{
	skh_upstream_t *upstream = g_new0(skh_upstream_t, 1);

	upstream->pool = pool;
	pool->connection_count++;
	opened_count++;
	(void)uv_tcp_init(pool->loop, &upstream->tcp);
	(void)uv_timer_init(pool->loop, &upstream->timer);
	upstream->open_handles = 2;
	upstream->tcp.data = upstream;
	upstream->timer.data = upstream;
	upstream->connect.data = upstream;
	upstream->state = STATE_CONNECTING;
	return upstream;
}

static skh_upstream_t *reuse_idle(skh_upstream_pool_t *pool)
{
	int64_t now_us = skh_clock_boot_us();
	skh_upstream_t *upstream;

	while ((upstream = g_queue_peek_tail(&pool->idle)) != NULL) {
		if (now_us - upstream->idle_since_us < upstream->idle_timeout_us) {
			(void)g_queue_pop_tail(&pool->idle);
			upstream->state = STATE_BUSY;
			return upstream;
		}
		close_upstream(upstream);
	}
	return NULL;
}

/* Reports a connect error from the loop, never from within skh_upstream_pool_send(). */
static void on_connect_error(uv_timer_t *timer)
{
	fail(timer->data, SKH_UPSTREAM_ERROR_UNREACHABLE);
}

static void connect_upstream(skh_upstream_t *upstream)
{
	int status =
		uv_tcp_connect(&upstream->connect, &upstream->tcp,
			       (const struct sockaddr *)&upstream->pool->address, on_connected);
	int64_t timeout_us = upstream->pool->options->connect_timeout_us;

	if (status == 0)
		(void)uv_timer_start(&upstream->timer, on_connect_timeout,
				     (uint64_t)(timeout_us / SKH_US_PER_MS), 0);
	else
		(void)uv_timer_start(&upstream->timer, on_connect_error, 0, 0);
}

skh_upstream_t *skh_upstream_pool_send(skh_upstream_pool_t *pool,
				       const skh_upstream_request_t *request,
				       const skh_upstream_ops_t *ops, void *context)
{
	skh_upstream_t *upstream = request->use_new_connection ? NULL : reuse_idle(pool);
	bool is_new = !upstream;

	if (is_new)
		upstream = new_upstream(pool);
	upstream->is_reused = !is_new;
	g_free(upstream->attempt_id);
	upstream->attempt_id = g_strdup(request->attempt_id);
	upstream->is_head_request = request->is_head_request;
	upstream->ops = ops;
	upstream->context = context;
	upstream->request_written = false;
	upstream->n_skipped = 0;
	upstream->skipped_bytes = 0;
	skh_buffer_clear(&upstream->bytes);
	skh_buffer_append(&upstream->bytes, request->bytes);
	skh_memory_budget_add(pool->options->memory, SKH_MEMORY_REQUESTS, upstream->bytes.capacity);
	reset_response(upstream);
	if (is_new)
		connect_upstream(upstream);
	else
		write_request(upstream);
	return upstream;
}

void skh_upstream_cancel(skh_upstream_t *upstream)
{
	close_upstream(upstream);
}

bool skh_upstream_is_connecting(const skh_upstream_t *upstream)
{
	return upstream->state == STATE_CONNECTING;
}

void skh_upstream_set_paused(skh_upstream_t *upstream, bool paused)
{
	if (upstream->state != STATE_BUSY)
		return;
	set_paused(upstream, paused);
	if (paused)
		(void)uv_read_stop((uv_stream_t *)&upstream->tcp);
	else
		(void)uv_read_start((uv_stream_t *)&upstream->tcp, alloc_buffer, on_read);
}

skh_upstream_pool_t *skh_upstream_pool_new(uv_loop_t *loop, const char *host, uint16_t port,
					   const skh_upstream_pool_options_t *options)
{
	skh_upstream_pool_t *pool = g_new0(skh_upstream_pool_t, 1);

	pool->loop = loop;
	pool->options = options;
	g_queue_init(&pool->idle);
	(void)uv_ip4_addr(host, port, &pool->address);
	return pool;
}

void skh_upstream_pool_close_idle(skh_upstream_pool_t *pool)
{
	skh_upstream_t *upstream;

	while ((upstream = g_queue_peek_head(&pool->idle)) != NULL)
		close_upstream(upstream);
}

void skh_upstream_pool_free(skh_upstream_pool_t *pool)
{
	pool->is_freed = true;
	skh_upstream_pool_close_idle(pool);
	free_pool_if_unused(pool);
}
