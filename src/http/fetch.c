#include "fetch.h"

#include "clock.h"
#include "http_message.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EPOLL_EVENTS	 64
#define CONNECT_TIMEOUT_MS	 2000L
#define MAX_IDLE_CONNECTIONS	 256L
#define CONTENT_LENGTH_HEADER	 "content-length:"
#define TRANSFER_ENCODING_HEADER "transfer-encoding:"
#define STATUS_LINE_START	 "HTTP/"
#define STATUS_FIRST_FINAL	 200
#define STATUS_NO_CONTENT	 204
#define STATUS_NOT_MODIFIED	 304

struct skh_fetch {
	CURLM *multi;
	int epoll_fd;
	int64_t timer_deadline_us; /* of libcurl's timer; INT64_MAX when it is not set */
	const skh_fetch_ops_t *ops;
	void *context;
	GHashTable *transfers;	  /* id -> transfer_t */
	GPtrArray *cancelled;	  /* transfers to free outside of libcurl's callbacks */
	GPtrArray *failed_starts; /* transfers to report outside of libcurl's callbacks */
	GPtrArray *idle_handles;  /* easy handles, reused to save their set-up */
	bool in_callback;
};

typedef struct transfer {
	uint64_t id;
	skh_fetch_t *fetch;
	CURL *curl;
	struct curl_slist *headers;
	bool is_cancelled;
	bool is_paused;
	bool has_framing;    /* the response has Content-Length or Transfer-Encoding */
	bool has_whole_head; /* the blank line behind the header fields has arrived */
} transfer_t;

static void release_transfer(skh_fetch_t *fetch, transfer_t *transfer)
{
	curl_multi_remove_handle(fetch->multi, transfer->curl);
	curl_easy_reset(transfer->curl);
	g_ptr_array_add(fetch->idle_handles, transfer->curl);
	curl_slist_free_all(transfer->headers);
	g_free(transfer);
}

static int on_socket(CURL *curl, curl_socket_t fd, int poll_flags, void *context, void *registered)
{
	skh_fetch_t *fetch = context;
	struct epoll_event event = { .data.fd = fd };

	(void)curl;
	if (poll_flags == CURL_POLL_REMOVE) {
		(void)epoll_ctl(fetch->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (poll_flags & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (poll_flags & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	/* Tries the other operation when @registered does not match the state of the epoll set. */
	if (epoll_ctl(fetch->epoll_fd, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) != 0)
		(void)epoll_ctl(fetch->epoll_fd, registered ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
				&event);
	/* Any non-NULL value: later calls for @fd receive it as @registered. */
	curl_multi_assign(fetch->multi, fd, fetch);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *context)
{
	skh_fetch_t *fetch = context;

	(void)multi;
	if (timeout_ms < 0)
		fetch->timer_deadline_us = INT64_MAX;
	else
		fetch->timer_deadline_us = skh_clock_now_us() + timeout_ms * SKH_US_PER_MS;
	return 0;
}

skh_fetch_t *skh_fetch_new(const skh_fetch_ops_t *ops, void *context)
{
	skh_fetch_t *fetch = g_new0(skh_fetch_t, 1);

	fetch->ops = ops;
	fetch->context = context;
	fetch->timer_deadline_us = INT64_MAX;
	fetch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	fetch->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
	fetch->cancelled = g_ptr_array_new();
	fetch->failed_starts = g_ptr_array_new();
	fetch->idle_handles = g_ptr_array_new();
	fetch->multi = curl_multi_init();
	curl_multi_setopt(fetch->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(fetch->multi, CURLMOPT_SOCKETDATA, fetch);
	curl_multi_setopt(fetch->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(fetch->multi, CURLMOPT_TIMERDATA, fetch);
	curl_multi_setopt(fetch->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
	return fetch;
}

static void reap_cancelled(skh_fetch_t *fetch)
{
	for (size_t i = 0; i < fetch->cancelled->len; i++)
		release_transfer(fetch, fetch->cancelled->pdata[i]);
	g_ptr_array_set_size(fetch->cancelled, 0);
}

void skh_fetch_free(skh_fetch_t *fetch)
{
	GHashTableIter iter;
	gpointer transfer;

	reap_cancelled(fetch);
	g_hash_table_iter_init(&iter, fetch->transfers);
	while (g_hash_table_iter_next(&iter, NULL, &transfer))
		release_transfer(fetch, transfer);
	for (size_t i = 0; i < fetch->idle_handles->len; i++)
		curl_easy_cleanup(fetch->idle_handles->pdata[i]);
	curl_multi_cleanup(fetch->multi);
	g_ptr_array_unref(fetch->idle_handles);
	g_ptr_array_unref(fetch->cancelled);
	g_ptr_array_unref(fetch->failed_starts);
	g_hash_table_unref(fetch->transfers);
	(void)close(fetch->epoll_fd);
	g_free(fetch);
}

static int32_t get_status(CURL *curl, const char **content_type)
{
	long status = 0;
	char *type = NULL;

	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(curl, CURLINFO_CONTENT_TYPE, &type);
	*content_type = type ? type : "";
	return (int32_t)status;
}

static size_t on_body_bytes(char *data, size_t size, size_t n, void *context)
{
	transfer_t *transfer = context;
	skh_fetch_t *fetch = transfer->fetch;
	const char *content_type;
	int32_t status;

	if (transfer->is_cancelled)
		return 0;
	if (transfer->is_paused)
		return CURL_WRITEFUNC_PAUSE;
	status = get_status(transfer->curl, &content_type);
	fetch->in_callback = true;
	fetch->ops->on_body(fetch->context, transfer->id, status, content_type,
			    skh_chunk_make(data, size * n));
	fetch->in_callback = false;
	return size * n;
}

static bool is_blank_line(const char *data, size_t len)
{
	return (len == 1 && data[0] == '\n') || (len == 2 && data[0] == '\r' && data[1] == '\n');
}

/* A status line, also one behind interim responses, begins another head. */
static void begin_head(transfer_t *transfer)
{
	transfer->has_framing = false;
	transfer->has_whole_head = false;
}

/*
 * Records whether the head is whole and whether the response has framing. Without framing, the
 * response ends when the connection closes and may be incomplete.
 */
static size_t on_header(char *data, size_t size, size_t n, void *context)
{
	transfer_t *transfer = context;
	size_t len = size * n;
	const char *content_type;

	/* Ends the transfer before anything is passed on; libcurl accepts any status. */
	if (!skh_http_status_is_valid((unsigned int)get_status(transfer->curl, &content_type)))
		return 0;
	if (len >= strlen(STATUS_LINE_START) &&
	    memcmp(data, STATUS_LINE_START, strlen(STATUS_LINE_START)) == 0)
		begin_head(transfer);
	/* That of a trailer comes after the head's. */
	if (is_blank_line(data, len))
		transfer->has_whole_head = true;
	if (len > strlen(CONTENT_LENGTH_HEADER) &&
	    g_ascii_strncasecmp(data, CONTENT_LENGTH_HEADER, strlen(CONTENT_LENGTH_HEADER)) == 0)
		transfer->has_framing = true;
	if (len > strlen(TRANSFER_ENCODING_HEADER) &&
	    g_ascii_strncasecmp(data, TRANSFER_ENCODING_HEADER, strlen(TRANSFER_ENCODING_HEADER)) ==
		    0)
		transfer->has_framing = true;
	return len;
}

static CURL *acquire_handle(skh_fetch_t *fetch)
{
	if (fetch->idle_handles->len == 0)
		return curl_easy_init();
	return g_ptr_array_steal_index_fast(fetch->idle_handles, fetch->idle_handles->len - 1);
}

static void set_method_and_body(CURL *curl, const skh_fetch_request_t *request)
{
	if (strcmp(request->method, "GET") == 0)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body.len);
	curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS,
			 request->body.len > 0 ? (const char *)request->body.data : "");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
}

void skh_fetch_start(skh_fetch_t *fetch, const skh_fetch_request_t *request, int64_t now_us)
{
	transfer_t *transfer = g_new0(transfer_t, 1);
	int64_t timeout_us = MAX(request->deadline_us - now_us, SKH_US_PER_MS);

	transfer->id = request->id;
	transfer->fetch = fetch;
	transfer->curl = acquire_handle(fetch);
	/* Disables "Expect: 100-continue", which would delay every large body. */
	transfer->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0; request->headers && request->headers[i]; i++)
		transfer->headers = curl_slist_append(transfer->headers, request->headers[i]);
	curl_easy_setopt(transfer->curl, CURLOPT_URL, request->url);
	curl_easy_setopt(transfer->curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(transfer->curl, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(transfer->curl, CURLOPT_WRITEFUNCTION, on_body_bytes);
	curl_easy_setopt(transfer->curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(transfer->curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(transfer->curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(transfer->curl, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(transfer->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(transfer->curl, CURLOPT_TIMEOUT_MS, (long)(timeout_us / SKH_US_PER_MS));
	/*
	 * libcurl resends a request when a reused connection closes without a response. A
	 * request that must not be resent therefore gets a new connection.
	 */
	curl_easy_setopt(transfer->curl, CURLOPT_FRESH_CONNECT, request->at_most_once ? 1L : 0L);
	set_method_and_body(transfer->curl, request);
	g_hash_table_insert(fetch->transfers, &transfer->id, transfer);
	/* Adding a handle fails inside a libcurl callback; nothing has been sent then. */
	if (curl_multi_add_handle(fetch->multi, transfer->curl) != CURLM_OK)
		g_ptr_array_add(fetch->failed_starts, transfer);
}

void skh_fetch_cancel(skh_fetch_t *fetch, uint64_t id)
{
	transfer_t *transfer = g_hash_table_lookup(fetch->transfers, &id);

	if (!transfer)
		return;
	g_hash_table_remove(fetch->transfers, &id);
	transfer->is_cancelled = true;
	g_ptr_array_add(fetch->cancelled, transfer);
	if (!fetch->in_callback)
		reap_cancelled(fetch);
}

void skh_fetch_set_paused(skh_fetch_t *fetch, uint64_t id, bool paused)
{
	transfer_t *transfer = g_hash_table_lookup(fetch->transfers, &id);

	if (!transfer || transfer->is_paused == paused)
		return;
	transfer->is_paused = paused;
	/* To pause, the next write callback returns CURL_WRITEFUNC_PAUSE. */
	if (!paused)
		curl_easy_pause(transfer->curl, CURLPAUSE_CONT);
}

void skh_fetch_watch_fd(skh_fetch_t *fetch, int fd)
{
	struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

	(void)epoll_ctl(fetch->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static skh_error_kind_t error_kind_from_curl(CURLcode code)
{
	/* The request was not sent, so the backend server did not run it. */
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return SKH_NO_BACKEND;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return SKH_OUTCOME_UNKNOWN;
	if (code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR ||
	    code == CURLE_PARTIAL_FILE)
		return SKH_BACKEND_LOST;
	return SKH_BACKEND_FAILED;
}

/*
 * libcurl also reports success for a response that ends within its head, and for one without
 * framing, of which nobody knows whether it has ended.
 */
static bool is_whole(const transfer_t *transfer, int32_t status)
{
	bool has_no_body = status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;

	return transfer->has_whole_head && status >= STATUS_FIRST_FINAL &&
	       (transfer->has_framing || has_no_body);
}

static void finish(skh_fetch_t *fetch, transfer_t *transfer, CURLcode code)
{
	const char *content_type;
	int32_t status = get_status(transfer->curl, &content_type);
	skh_error_t err;
	bool complete = code == CURLE_OK && is_whole(transfer, status);

	g_hash_table_remove(fetch->transfers, &transfer->id);
	if (code != CURLE_OK)
		(void)skh_error_set(&err, error_kind_from_curl(code), "backend server: %s",
				    curl_easy_strerror(code));
	else if (!transfer->has_whole_head)
		(void)skh_error_set(&err, SKH_BACKEND_LOST,
				    "backend server: the response ended within its head");
	else if (!complete)
		(void)skh_error_set(&err, SKH_BACKEND_FAILED,
				    "backend server: response without Content-Length or "
				    "Transfer-Encoding; it may be incomplete");
	fetch->ops->on_done(fetch->context, transfer->id, status, content_type,
			    complete ? NULL : &err);
	release_transfer(fetch, transfer);
}

static void report_failed_starts(skh_fetch_t *fetch)
{
	while (fetch->failed_starts->len > 0) {
		transfer_t *transfer = g_ptr_array_remove_index(fetch->failed_starts,
								fetch->failed_starts->len - 1);

		if (!transfer->is_cancelled)
			finish(fetch, transfer, CURLE_COULDNT_CONNECT);
	}
}

static void reap_finished(skh_fetch_t *fetch)
{
	CURLMsg *message;
	int n_remaining;

	while ((message = curl_multi_info_read(fetch->multi, &n_remaining)) != NULL) {
		transfer_t *transfer = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&transfer);
		if (!transfer->is_cancelled)
			finish(fetch, transfer, code);
	}
	reap_cancelled(fetch);
}

static void run_timer(skh_fetch_t *fetch)
{
	int running;

	if (skh_clock_now_us() < fetch->timer_deadline_us)
		return;
	fetch->timer_deadline_us = INT64_MAX;
	curl_multi_socket_action(fetch->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static int32_t get_poll_timeout_ms(const skh_fetch_t *fetch, int64_t deadline_us)
{
	int64_t wake_us = MIN(deadline_us, fetch->timer_deadline_us);
	int64_t wait_us = wake_us - skh_clock_now_us();

	if (wait_us <= 0)
		return 0;
	return (int32_t)MIN((wait_us + SKH_US_PER_MS - 1) / SKH_US_PER_MS, SKH_MS_PER_S);
}

void skh_fetch_poll(skh_fetch_t *fetch, int64_t deadline_us)
{
	struct epoll_event events[MAX_EPOLL_EVENTS];
	int n = epoll_wait(fetch->epoll_fd, events, MAX_EPOLL_EVENTS,
			   get_poll_timeout_ms(fetch, deadline_us));
	int running;

	for (int i = 0; i < n; i++) {
		int poll_flags = 0;

		if (events[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR))
			poll_flags |= CURL_CSELECT_IN;
		if (events[i].events & EPOLLOUT)
			poll_flags |= CURL_CSELECT_OUT;
		/* libcurl ignores descriptors that it does not know, such as watched ones. */
		curl_multi_socket_action(fetch->multi, events[i].data.fd, poll_flags, &running);
	}
	run_timer(fetch);
	report_failed_starts(fetch);
	reap_finished(fetch);
}
