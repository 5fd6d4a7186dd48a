#include "upstream.h"

#include "clock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define KEEPALIVE_IDLE_S     1 /* probes begin on a connection this long silent */
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     3

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
	GQueue idle; /* skh_upstream_t, the last used at the tail */
	guint users; /* connections that point here */
	bool freed;
};

struct skh_upstream {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	skh_upstream_pool_t *pool;
	state_t state;
	const skh_upstream_ops_t *ops; /* NULL while nobody listens */
	void *context;
	skh_http_message_t answer;
	skh_buffer_t bytes; /* of the request */
	char *attempt_id;
	bool head_only;
	bool handed_over;
	bool writing;
	bool skipping; /* the answer that is read belongs to another request */
	bool dirty;    /* not to be used again */
	int64_t idle_since_us;
	int64_t idle_limit_us;
	int open_handles;
};

/* A write outlives its connection's use: it owns its bytes. */
typedef struct write {
	uv_write_t request;
	skh_upstream_t *upstream;
	skh_buffer_t bytes;
} write_t;

static char read_buffer[64 << 10]; /* of the loop's thread; used up before the next read */
static uint64_t opened;

uint64_t skh_upstream_pool_opened_count(void)
{
	return opened;
}

static void drop_pool(skh_upstream_pool_t *pool)
{
	if (pool->freed && pool->users == 0)
		g_free(pool);
}

static void on_closed(uv_handle_t *handle)
{
	skh_upstream_t *upstream = handle->data;
	skh_upstream_pool_t *pool = upstream->pool;

	if (--upstream->open_handles > 0)
		return;
	skh_http_message_free(&upstream->answer);
	skh_buffer_free(&upstream->bytes);
	g_free(upstream->attempt_id);
	g_free(upstream);
	pool->users--;
	drop_pool(pool);
}

static void close_upstream(skh_upstream_t *upstream)
{
	if (upstream->state == STATE_CLOSED)
		return;
	if (upstream->state == STATE_IDLE)
		(void)g_queue_remove(&upstream->pool->idle, upstream);
	upstream->state = STATE_CLOSED;
	upstream->ops = NULL;
	uv_close((uv_handle_t *)&upstream->tcp, on_closed);
	uv_close((uv_handle_t *)&upstream->timer, on_closed);
}

static void lose(skh_upstream_t *upstream, skh_upstream_error_t lost)
{
	const skh_upstream_ops_t *ops = upstream->ops;
	void *context = upstream->context;
	bool handed_over = upstream->handed_over;

	close_upstream(upstream);
	if (ops)
		ops->on_error(context, lost, handed_over);
}

static void set_socket_options(skh_upstream_t *upstream)
{
	const int idle_s = KEEPALIVE_IDLE_S;
	const int interval_s = KEEPALIVE_INTERVAL_S;
	const int probes = KEEPALIVE_PROBES;
	const int on = 1;
	unsigned int silence_ms =
		(unsigned int)(upstream->pool->options->unacked_timeout_us / SKH_US_PER_MS);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&upstream->tcp, &fd) != 0)
		return;
	(void)uv_tcp_nodelay(&upstream->tcp, 1);
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, sizeof(silence_ms));
}

static void on_written(uv_write_t *request, int status)
{
	write_t *write = (write_t *)request;
	skh_upstream_t *upstream = write->upstream;

	upstream->writing = false;
	skh_buffer_free(&write->bytes);
	g_free(write);
	if (status < 0 && status != UV_ECANCELED && upstream->state == STATE_BUSY)
		lose(upstream, SKH_UPSTREAM_ERROR_CONNECTION_CLOSED);
}

static void write_request(skh_upstream_t *upstream)
{
	write_t *write = g_new0(write_t, 1);
	uv_buf_t buffer;

	write->upstream = upstream;
	write->bytes = upstream->bytes;
	upstream->bytes = (skh_buffer_t)SKH_BUFFER_INIT;
	upstream->handed_over = true;
	upstream->writing = true;
	buffer = uv_buf_init((char *)write->bytes.data, (unsigned int)write->bytes.len);
	if (uv_write(&write->request, (uv_stream_t *)&upstream->tcp, &buffer, 1, on_written) == 0)
		return;
	upstream->writing = false;
	skh_buffer_free(&write->bytes);
	g_free(write);
	lose(upstream, SKH_UPSTREAM_ERROR_CONNECTION_CLOSED);
}

static void give_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	(void)handle;
	(void)wanted;
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* The server says for how long it keeps an idle connection, in whole seconds. */
static int64_t idle_limit_of(const skh_upstream_t *upstream)
{
	const char *keep_alive = skh_http_message_header(&upstream->answer, "Keep-Alive");
	const char *timeout = keep_alive ? strstr(keep_alive, "timeout=") : NULL;
	int64_t limit_us = upstream->pool->options->idle_timeout_us;

	if (timeout) {
		int64_t said_us =
			g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * SKH_US_PER_S;

		/* Half of it, as it ends at the server's side and unseen for a while. */
		limit_us = MIN(limit_us, said_us / 2);
	}
	return limit_us;
}

static void make_idle(skh_upstream_t *upstream)
{
	skh_upstream_pool_t *pool = upstream->pool;

	upstream->ops = NULL;
	upstream->idle_limit_us = idle_limit_of(upstream);
	if (pool->freed || upstream->dirty || upstream->writing || upstream->idle_limit_us <= 0 ||
	    !skh_http_message_can_keep_alive(&upstream->answer)) {
		close_upstream(upstream);
		return;
	}
	upstream->state = STATE_IDLE;
	upstream->idle_since_us = skh_clock_boot_us();
	g_queue_push_tail(&pool->idle, upstream);
	if (g_queue_get_length(&pool->idle) > pool->options->max_idle_connections)
		close_upstream(g_queue_peek_head(&pool->idle));
}

static bool belongs_here(const skh_upstream_t *upstream, const skh_http_message_t *answer)
{
	const char *id =
		skh_http_message_header(answer, upstream->pool->options->attempt_id_header);

	if (!upstream->attempt_id)
		return true;
	/* A server that turned a request away may not have read its id. */
	if (!id)
		return answer->parser.status_code >= 400;
	return strcmp(id, upstream->attempt_id) == 0;
}

static bool on_head(void *context, skh_http_message_t *answer)
{
	skh_upstream_t *upstream = context;

	answer->skip_body = upstream->head_only;
	if (answer->parser.status_code < 200)
		return true;
	upstream->skipping = !belongs_here(upstream, answer);
	if (upstream->skipping)
		return true;
	return upstream->ops->on_head(upstream->context, answer);
}

static void on_body(void *context, skh_chunk_t bytes)
{
	skh_upstream_t *upstream = context;

	if (!upstream->skipping && upstream->ops)
		upstream->ops->on_body(upstream->context, bytes);
}

static const skh_http_message_ops_t answer_ops = { .on_head = on_head, .on_body = on_body };

static void expect_answer(skh_upstream_t *upstream)
{
	upstream->skipping = false;
	skh_http_message_reset(&upstream->answer, HTTP_RESPONSE, &answer_ops, upstream);
}

/* True when reading goes on: what was read was an interim answer, or another's. */
static bool end_answer(skh_upstream_t *upstream)
{
	const skh_upstream_ops_t *ops = upstream->ops;
	void *context = upstream->context;

	if (upstream->skipping || upstream->answer.parser.status_code < 200) {
		upstream->dirty = upstream->dirty || upstream->skipping;
		expect_answer(upstream);
		return true;
	}
	upstream->ops = NULL;
	ops->on_end(context, &upstream->answer);
	return false;
}

static void take_bytes(skh_upstream_t *upstream, skh_chunk_t bytes)
{
	while (bytes.len > 0) {
		skh_error_t err;
		size_t used;
		bool valid = skh_http_message_feed(&upstream->answer, bytes, &used, &err);

		/* The listener may have cancelled. */
		if (upstream->state == STATE_CLOSED)
			return;
		if (!valid) {
			lose(upstream, SKH_UPSTREAM_ERROR_INVALID_RESPONSE);
			return;
		}
		bytes = skh_chunk_make(bytes.data + used, bytes.len - used);
		if (!upstream->answer.done)
			continue;
		if (end_answer(upstream))
			continue;
		/* Bytes behind a whole answer belong to no request. */
		upstream->dirty = upstream->dirty || bytes.len > 0;
		if (upstream->state != STATE_CLOSED)
			make_idle(upstream);
		return;
	}
}

/*
 * libuv reports an end for a hang-up without asking for the reason. An answer
 * without a length that is cut by a reset must not be taken for whole.
 */
static bool ended_cleanly(const skh_upstream_t *upstream)
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

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	skh_upstream_t *upstream = stream->data;

	if (n == 0)
		return;
	if (upstream->state == STATE_IDLE) {
		close_upstream(upstream);
		return;
	}
	if (n > 0) {
		take_bytes(upstream, skh_chunk_make(buffer->base, (size_t)n));
		return;
	}
	if (n == UV_EOF && !upstream->skipping && ended_cleanly(upstream) &&
	    skh_http_message_feed_eof(&upstream->answer)) {
		upstream->dirty = true;
		(void)end_answer(upstream);
		close_upstream(upstream);
		return;
	}
	lose(upstream, SKH_UPSTREAM_ERROR_CONNECTION_CLOSED);
}

static void on_connected(uv_connect_t *request, int status)
{
	skh_upstream_t *upstream = request->data;

	if (upstream->state == STATE_CLOSED)
		return;
	if (status < 0) {
		lose(upstream, SKH_UPSTREAM_ERROR_UNREACHABLE);
		return;
	}
	(void)uv_timer_stop(&upstream->timer);
	upstream->state = STATE_BUSY;
	set_socket_options(upstream);
	(void)uv_read_start((uv_stream_t *)&upstream->tcp, give_buffer, on_read);
	write_request(upstream);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	lose(timer->data, SKH_UPSTREAM_ERROR_UNREACHABLE);
}

static skh_upstream_t *open_upstream(skh_upstream_pool_t *pool)
{
	skh_upstream_t *upstream = g_new0(skh_upstream_t, 1);

	upstream->pool = pool;
	pool->users++;
	opened++;
	(void)uv_tcp_init(pool->loop, &upstream->tcp);
	(void)uv_timer_init(pool->loop, &upstream->timer);
	upstream->open_handles = 2;
	upstream->tcp.data = upstream;
	upstream->timer.data = upstream;
	upstream->connect.data = upstream;
	upstream->state = STATE_CONNECTING;
	return upstream;
}

static skh_upstream_t *take_idle(skh_upstream_pool_t *pool)
{
	int64_t now_us = skh_clock_boot_us();
	skh_upstream_t *upstream;

	while ((upstream = g_queue_peek_tail(&pool->idle)) != NULL) {
		if (now_us - upstream->idle_since_us < upstream->idle_limit_us) {
			(void)g_queue_pop_tail(&pool->idle);
			upstream->state = STATE_BUSY;
			return upstream;
		}
		close_upstream(upstream);
	}
	return NULL;
}

/* Failures are told from the loop, never from within skh_upstream_pool_send(). */
static void on_refused_soon(uv_timer_t *timer)
{
	lose(timer->data, SKH_UPSTREAM_ERROR_UNREACHABLE);
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
		(void)uv_timer_start(&upstream->timer, on_refused_soon, 0, 0);
}

skh_upstream_t *skh_upstream_pool_send(skh_upstream_pool_t *pool,
				       const skh_upstream_request_t *send,
				       const skh_upstream_ops_t *ops, void *context)
{
	skh_upstream_t *upstream = send->use_new_connection ? NULL : take_idle(pool);
	bool is_new = !upstream;

	if (is_new)
		upstream = open_upstream(pool);
	g_free(upstream->attempt_id);
	upstream->attempt_id = g_strdup(send->attempt_id);
	upstream->head_only = send->is_head_request;
	upstream->ops = ops;
	upstream->context = context;
	upstream->handed_over = false;
	skh_buffer_clear(&upstream->bytes);
	skh_buffer_append(&upstream->bytes, send->bytes);
	expect_answer(upstream);
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

void skh_upstream_set_paused(skh_upstream_t *upstream, bool paused)
{
	if (upstream->state != STATE_BUSY)
		return;
	if (paused)
		(void)uv_read_stop((uv_stream_t *)&upstream->tcp);
	else
		(void)uv_read_start((uv_stream_t *)&upstream->tcp, give_buffer, on_read);
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
	pool->freed = true;
	skh_upstream_pool_close_idle(pool);
	drop_pool(pool);
}
