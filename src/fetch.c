#include "fetch.h"

#include "clock.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EPOLL_EVENTS     64
#define CONNECT_TIMEOUT_MS   2000L
#define MAX_IDLE_CONNECTIONS 256L
#define LENGTH_HEADER	     "content-length:"
#define CODING_HEADER	     "transfer-encoding:"

struct skh_fetch {
	CURLM *multi;
	int epoll_fd;
	int64_t timer_at_us; /* when libcurl wants to be called; INT64_MAX for never */
	const skh_fetch_ops_t *events;
	void *context;
	GHashTable *transfers; /* id -> transfer_t */
	GPtrArray *cancelled;  /* freed outside of libcurl's callbacks */
	GPtrArray *not_begun;  /* reported outside of libcurl's callbacks */
	GPtrArray *spare;      /* idle easy handles: reusing one saves its set-up */
	bool in_callback;
};

typedef struct transfer {
	uint64_t id;
	skh_fetch_t *fetch;
	CURL *curl;
	struct curl_slist *headers;
	bool cancelled;
	bool paused;
	bool framed; /* the answer says where it ends */
	bool has_body;
} transfer_t;

static void release(skh_fetch_t *fetch, transfer_t *transfer)
{
	curl_multi_remove_handle(fetch->multi, transfer->curl);
	curl_easy_reset(transfer->curl);
	g_ptr_array_add(fetch->spare, transfer->curl);
	curl_slist_free_all(transfer->headers);
	g_free(transfer);
}

static int on_socket(CURL *curl, curl_socket_t fd, int what, void *context, void *known)
{
	skh_fetch_t *fetch = context;
	struct epoll_event event = { .data.fd = fd };

	(void)curl;
	if (what == CURL_POLL_REMOVE) {
		(void)epoll_ctl(fetch->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	if (epoll_ctl(fetch->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event) != 0)
		(void)epoll_ctl(fetch->epoll_fd, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
	curl_multi_assign(fetch->multi, fd, fetch);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *context)
{
	skh_fetch_t *fetch = context;

	(void)multi;
	if (timeout_ms < 0)
		fetch->timer_at_us = INT64_MAX;
	else
		fetch->timer_at_us = skh_clock_now_us() + timeout_ms * SKH_US_PER_MS;
	return 0;
}

skh_fetch_t *skh_fetch_new(const skh_fetch_ops_t *events, void *context)
{
	skh_fetch_t *fetch = g_new0(skh_fetch_t, 1);

	fetch->events = events;
	fetch->context = context;
	fetch->timer_at_us = INT64_MAX;
	fetch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	fetch->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
	fetch->cancelled = g_ptr_array_new();
	fetch->not_begun = g_ptr_array_new();
	fetch->spare = g_ptr_array_new();
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
		release(fetch, fetch->cancelled->pdata[i]);
	g_ptr_array_set_size(fetch->cancelled, 0);
}

void skh_fetch_free(skh_fetch_t *fetch)
{
	GHashTableIter iter;
	gpointer transfer;

	reap_cancelled(fetch);
	g_hash_table_iter_init(&iter, fetch->transfers);
	while (g_hash_table_iter_next(&iter, NULL, &transfer))
		release(fetch, transfer);
	for (size_t i = 0; i < fetch->spare->len; i++)
		curl_easy_cleanup(fetch->spare->pdata[i]);
	curl_multi_cleanup(fetch->multi);
	g_ptr_array_unref(fetch->spare);
	g_ptr_array_unref(fetch->cancelled);
	g_ptr_array_unref(fetch->not_begun);
	g_hash_table_unref(fetch->transfers);
	(void)close(fetch->epoll_fd);
	g_free(fetch);
}

static int32_t status_of(CURL *curl, const char **content_type)
{
	long status = 0;
	char *type = NULL;

	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(curl, CURLINFO_CONTENT_TYPE, &type);
	*content_type = type ? type : "";
	return (int32_t)status;
}

static size_t on_bytes(char *data, size_t size, size_t n, void *context)
{
	transfer_t *transfer = context;
	skh_fetch_t *fetch = transfer->fetch;
	const char *content_type;
	int32_t status;

	if (transfer->cancelled)
		return 0;
	if (transfer->paused)
		return CURL_WRITEFUNC_PAUSE;
	status = status_of(transfer->curl, &content_type);
	transfer->has_body = true;
	fetch->in_callback = true;
	fetch->events->on_body(fetch->context, transfer->id, status, content_type,
			       skh_chunk_make(data, size * n));
	fetch->in_callback = false;
	return size * n;
}

/* An answer that merely ends with its connection may have been cut off. */
static size_t on_header(char *data, size_t size, size_t n, void *context)
{
	transfer_t *transfer = context;
	size_t len = size * n;

	if (len > strlen(LENGTH_HEADER) &&
	    g_ascii_strncasecmp(data, LENGTH_HEADER, strlen(LENGTH_HEADER)) == 0)
		transfer->framed = true;
	if (len > strlen(CODING_HEADER) &&
	    g_ascii_strncasecmp(data, CODING_HEADER, strlen(CODING_HEADER)) == 0)
		transfer->framed = true;
	return len;
}

static CURL *take_handle(skh_fetch_t *fetch)
{
	if (fetch->spare->len == 0)
		return curl_easy_init();
	return g_ptr_array_steal_index_fast(fetch->spare, fetch->spare->len - 1);
}

static void set_body(CURL *curl, const skh_fetch_request_t *request)
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
	int64_t budget_us = MAX(request->deadline_us - now_us, SKH_US_PER_MS);

	transfer->id = request->id;
	transfer->fetch = fetch;
	transfer->curl = take_handle(fetch);
	/* Waiting for "100 Continue" would hold every large body back. */
	transfer->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0; request->headers && request->headers[i]; i++)
		transfer->headers = curl_slist_append(transfer->headers, request->headers[i]);
	curl_easy_setopt(transfer->curl, CURLOPT_URL, request->url);
	curl_easy_setopt(transfer->curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(transfer->curl, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(transfer->curl, CURLOPT_WRITEFUNCTION, on_bytes);
	curl_easy_setopt(transfer->curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(transfer->curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(transfer->curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(transfer->curl, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(transfer->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(transfer->curl, CURLOPT_TIMEOUT_MS, (long)(budget_us / SKH_US_PER_MS));
	/* libcurl sends a request again when a reused connection closes without an answer. */
	curl_easy_setopt(transfer->curl, CURLOPT_FRESH_CONNECT, request->at_most_once ? 1L : 0L);
	set_body(transfer->curl, request);
	g_hash_table_insert(fetch->transfers, &transfer->id, transfer);
	/* libcurl takes none while it delivers bytes; nothing is sent then. */
	if (curl_multi_add_handle(fetch->multi, transfer->curl) != CURLM_OK)
		g_ptr_array_add(fetch->not_begun, transfer);
}

void skh_fetch_cancel(skh_fetch_t *fetch, uint64_t id)
{
	transfer_t *transfer = g_hash_table_lookup(fetch->transfers, &id);

	if (!transfer)
		return;
	g_hash_table_remove(fetch->transfers, &id);
	transfer->cancelled = true;
	g_ptr_array_add(fetch->cancelled, transfer);
	if (!fetch->in_callback)
		reap_cancelled(fetch);
}

void skh_fetch_set_paused(skh_fetch_t *fetch, uint64_t id, bool paused)
{
	transfer_t *transfer = g_hash_table_lookup(fetch->transfers, &id);

	if (!transfer || transfer->paused == paused)
		return;
	transfer->paused = paused;
	/* While paused, the next write callback stops the transfer itself. */
	if (!paused)
		curl_easy_pause(transfer->curl, CURLPAUSE_CONT);
}

void skh_fetch_watch_fd(skh_fetch_t *fetch, int fd)
{
	struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

	(void)epoll_ctl(fetch->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static skh_error_kind_t kind_of(CURLcode code)
{
	/* Nothing was sent, so the backend server can't have run anything. */
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return SKH_NO_BACKEND;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return SKH_OUTCOME_UNKNOWN;
	if (code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR ||
	    code == CURLE_PARTIAL_FILE)
		return SKH_BACKEND_LOST;
	return SKH_BACKEND_FAILED;
}

static void finish(skh_fetch_t *fetch, transfer_t *transfer, CURLcode code)
{
	const char *content_type;
	int32_t status = status_of(transfer->curl, &content_type);
	skh_error_t err;

	bool complete = code == CURLE_OK && (transfer->framed || !transfer->has_body);

	g_hash_table_remove(fetch->transfers, &transfer->id);
	if (code != CURLE_OK)
		(void)skh_error_set(&err, kind_of(code), "backend server: %s",
				    curl_easy_strerror(code));
	else if (!complete)
		(void)skh_error_set(&err, SKH_BACKEND_FAILED,
				    "backend server: the answer does not say where it ends");
	fetch->events->on_done(fetch->context, transfer->id, status, content_type,
			       complete ? NULL : &err);
	release(fetch, transfer);
}

static void report_not_begun(skh_fetch_t *fetch)
{
	while (fetch->not_begun->len > 0) {
		transfer_t *transfer =
			g_ptr_array_remove_index(fetch->not_begun, fetch->not_begun->len - 1);

		if (!transfer->cancelled)
			finish(fetch, transfer, CURLE_COULDNT_CONNECT);
	}
}

static void reap_finished(skh_fetch_t *fetch)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(fetch->multi, &left)) != NULL) {
		transfer_t *transfer = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&transfer);
		if (!transfer->cancelled)
			finish(fetch, transfer, code);
	}
	reap_cancelled(fetch);
}

static void run_timer(skh_fetch_t *fetch)
{
	int running;

	if (skh_clock_now_us() < fetch->timer_at_us)
		return;
	fetch->timer_at_us = INT64_MAX;
	curl_multi_socket_action(fetch->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static int32_t wait_ms(const skh_fetch_t *fetch, int64_t until_us)
{
	int64_t wake_us = MIN(until_us, fetch->timer_at_us);
	int64_t wait_us = wake_us - skh_clock_now_us();

	if (wait_us <= 0)
		return 0;
	return (int32_t)MIN((wait_us + SKH_US_PER_MS - 1) / SKH_US_PER_MS, SKH_MS_PER_S);
}

void skh_fetch_poll(skh_fetch_t *fetch, int64_t until_us)
{
	struct epoll_event events[MAX_EPOLL_EVENTS];
	int n = epoll_wait(fetch->epoll_fd, events, MAX_EPOLL_EVENTS, wait_ms(fetch, until_us));
	int running;

	for (int i = 0; i < n; i++) {
		int what = 0;

		if (events[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR))
			what |= CURL_CSELECT_IN;
		if (events[i].events & EPOLLOUT)
			what |= CURL_CSELECT_OUT;
		/* A watched descriptor is not libcurl's; libcurl ignores unknown ones. */
		curl_multi_socket_action(fetch->multi, events[i].data.fd, what, &running);
	}
	run_timer(fetch);
	report_not_begun(fetch);
	reap_finished(fetch);
}
