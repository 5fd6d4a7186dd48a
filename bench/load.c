/*
 * Load generator for the benches: one thread that runs many requests on libcurl's multi
 * interface.
 *
 *   load latency URL_A URL_B N         N unstreamed requests to A and to B, alternating
 *   load streams URL N TOKENS          N concurrent streams of TOKENS tokens each
 *   load keyed URL N CONCURRENT        N POSTs, each with its own idempotency key,
 *                                      CONCURRENT at a time
 *
 * Prints one line of name=value pairs; times are in microseconds, except "seconds". Exits
 * with 1 if a request fails or a stream is incomplete.
 */
#define _GNU_SOURCE
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMESTAMP_FIELD "\"sent_us\":"

typedef struct samples {
	int64_t *values;
	size_t count;
	size_t capacity;
} samples_t;

typedef struct stream {
	CURL *curl;
	int64_t n_tokens;
	bool is_done;
	int64_t first_token_us;
	int64_t started_us;
	samples_t *token_lag_us; /* shared by all streams; from sending to receipt of a token */
} stream_t;

static void add_sample(samples_t *samples, int64_t value)
{
	if (samples->count == samples->capacity) {
		samples->capacity = samples->capacity ? samples->capacity * 2 : 1024;
		samples->values = g_renew(int64_t, samples->values, samples->capacity);
	}
	samples->values[samples->count++] = value;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static int64_t percentile(samples_t *samples, double fraction)
{
	if (samples->count == 0)
		return 0;
	qsort(samples->values, samples->count, sizeof(int64_t), compare_int64);
	return samples->values[(size_t)(fraction * (double)(samples->count - 1))];
}

static size_t discard_body(char *data, size_t size, size_t n, void *context)
{
	(void)data;
	(void)context;
	return size * n;
}

static CURL *new_request(const char *url, const char *body, struct curl_slist *headers)
{
	CURL *curl = curl_easy_init();

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
	return curl;
}

static int64_t measure_request_us(CURL *curl)
{
	int64_t start_us = g_get_monotonic_time();
	long status = 0;

	if (curl_easy_perform(curl) != CURLE_OK)
		return -1;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	return status == 200 ? g_get_monotonic_time() - start_us : -1;
}

static int run_latency(const char *url_a, const char *url_b, int64_t n, struct curl_slist *headers)
{
	static const char body[] = "{\"model\":\"spares-7b\",\"max_tokens\":1,\"prompt\":\"x\"}";
	CURL *a = new_request(url_a, body, headers);
	CURL *b = new_request(url_b, body, headers);
	samples_t samples_a_us = { 0 };
	samples_t samples_b_us = { 0 };
	int64_t n_failed = 0;

	for (int64_t i = 0; i < n; i++) {
		int64_t elapsed_a_us = measure_request_us(a);
		int64_t elapsed_b_us = measure_request_us(b);

		if (elapsed_a_us < 0 || elapsed_b_us < 0) {
			n_failed++;
			continue;
		}
		add_sample(&samples_a_us, elapsed_a_us);
		add_sample(&samples_b_us, elapsed_b_us);
	}
	(void)printf("n=%" PRId64 " failed=%" PRId64 " a_p50=%" PRId64 " a_p99=%" PRId64
		     " b_p50=%" PRId64 " b_p99=%" PRId64 "\n",
		     n, n_failed, percentile(&samples_a_us, 0.50), percentile(&samples_a_us, 0.99),
		     percentile(&samples_b_us, 0.50), percentile(&samples_b_us, 0.99));
	curl_easy_cleanup(a);
	curl_easy_cleanup(b);
	return n_failed == 0 ? 0 : 1;
}

static size_t record_tokens(char *data, size_t size, size_t n, void *context)
{
	stream_t *stream = context;
	int64_t now_us = g_get_monotonic_time();
	const char *end = data + size * n;
	const char *cursor = data;

	while ((cursor = g_strstr_len(cursor, end - cursor, TIMESTAMP_FIELD)) != NULL) {
		cursor += strlen(TIMESTAMP_FIELD);
		if (stream->n_tokens++ == 0)
			stream->first_token_us = now_us - stream->started_us;
		add_sample(stream->token_lag_us, now_us - g_ascii_strtoll(cursor, NULL, 10));
	}
	if (g_strstr_len(data, (gssize)(size * n), "[DONE]"))
		stream->is_done = true;
	return size * n;
}

static int64_t count_complete(const stream_t *streams, int64_t n, int64_t n_tokens)
{
	int64_t n_complete = 0;

	for (int64_t i = 0; i < n; i++)
		n_complete += streams[i].is_done && streams[i].n_tokens == n_tokens;
	return n_complete;
}

static int run_streams(const char *url, int64_t n, int64_t n_tokens, struct curl_slist *headers)
{
	CURLM *multi = curl_multi_init();
	stream_t *streams = g_new0(stream_t, n);
	samples_t token_lag_us = { 0 };
	samples_t first_token_us = { 0 };
	int64_t start_us = g_get_monotonic_time();
	int64_t n_complete;
	int n_running = 1;

	for (int64_t i = 0; i < n; i++) {
		g_autofree char *body =
			g_strdup_printf("{\"model\":\"spares-7b\",\"stream\":true,\"stamp\":true,"
					"\"max_tokens\":%" PRId64 ",\"prompt\":\"%" PRId64 "\"}",
					n_tokens, i);

		streams[i].curl = new_request(url, body, headers);
		streams[i].started_us = start_us;
		streams[i].token_lag_us = &token_lag_us;
		curl_easy_setopt(streams[i].curl, CURLOPT_WRITEFUNCTION, record_tokens);
		curl_easy_setopt(streams[i].curl, CURLOPT_WRITEDATA, &streams[i]);
		curl_multi_add_handle(multi, streams[i].curl);
	}
	while (n_running > 0) {
		(void)curl_multi_perform(multi, &n_running);
		if (n_running > 0)
			(void)curl_multi_poll(multi, NULL, 0, 1000, NULL);
	}
	for (int64_t i = 0; i < n; i++)
		add_sample(&first_token_us, streams[i].first_token_us);
	n_complete = count_complete(streams, n, n_tokens);
	(void)printf("streams=%" PRId64 " whole=%" PRId64 " seconds=%.2f first_p50=%" PRId64
		     " first_p95=%" PRId64 " lag_p50=%" PRId64 " lag_p99=%" PRId64 "\n",
		     n, n_complete, (double)(g_get_monotonic_time() - start_us) / 1e6,
		     percentile(&first_token_us, 0.50), percentile(&first_token_us, 0.95),
		     percentile(&token_lag_us, 0.50), percentile(&token_lag_us, 0.99));
	return n_complete == n ? 0 : 1;
}

/* Returns a header with a UUIDv7 for the current time and @number as its random part. */
static char *make_key_header(int64_t number)
{
	uint64_t now_ms = (uint64_t)(g_get_real_time() / 1000);

	return g_strdup_printf("Idempotency-Key: %08" PRIx64 "-%04" PRIx64 "-7abc-8def-%012" PRIx64,
			       now_ms >> 16, now_ms & 0xffff, (uint64_t)number);
}

typedef struct keyed_request {
	CURL *curl;
	struct curl_slist *headers;
	int64_t started_us;
} keyed_request_t;

static void start_keyed(CURLM *multi, keyed_request_t *request, int64_t number)
{
	g_autofree char *key_header = make_key_header(number);

	curl_slist_free_all(request->headers);
	request->headers = curl_slist_append(NULL, "Authorization: Bearer clerk-key");
	request->headers = curl_slist_append(request->headers, key_header);
	curl_easy_setopt(request->curl, CURLOPT_HTTPHEADER, request->headers);
	request->started_us = g_get_monotonic_time();
	curl_multi_add_handle(multi, request->curl);
}

static int run_keyed(const char *url, int64_t n, int64_t concurrency)
{
	CURLM *multi = curl_multi_init();
	keyed_request_t *requests = g_new0(keyed_request_t, concurrency);
	samples_t latency_us = { 0 };
	int64_t n_started = 0;
	int64_t n_ended = 0;
	int64_t n_created = 0;
	int64_t start_us = g_get_monotonic_time();
	CURLMsg *message;
	int n_running;
	int n_left;

	for (int64_t i = 0; i < concurrency && n_started < n; i++) {
		requests[i].curl = new_request(url, "sold", NULL);
		curl_easy_setopt(requests[i].curl, CURLOPT_PRIVATE, &requests[i]);
		start_keyed(multi, &requests[i], n_started++);
	}
	while (n_ended < n) {
		(void)curl_multi_perform(multi, &n_running);
		while ((message = curl_multi_info_read(multi, &n_left)) != NULL) {
			keyed_request_t *request;
			long status = 0;

			curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
					  (char **)&request);
			curl_easy_getinfo(request->curl, CURLINFO_RESPONSE_CODE, &status);
			add_sample(&latency_us, g_get_monotonic_time() - request->started_us);
			curl_multi_remove_handle(multi, request->curl);
			n_created += status == 201;
			n_ended++;
			if (n_started < n)
				start_keyed(multi, request, n_started++);
		}
		(void)curl_multi_poll(multi, NULL, 0, 1000, NULL);
	}
	(void)printf("n=%" PRId64 " good=%" PRId64 " per_s=%.0f p50=%" PRId64 " p99=%" PRId64 "\n",
		     n, n_created, (double)n * 1e6 / (double)(g_get_monotonic_time() - start_us),
		     percentile(&latency_us, 0.50), percentile(&latency_us, 0.99));
	return n_created == n ? 0 : 1;
}

int main(int argc, char **argv)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Authorization: Bearer clerk-key");

	headers = curl_slist_append(headers, "X-Deadline-Ms: 120000");
	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
	if (argc == 5 && strcmp(argv[1], "latency") == 0)
		return run_latency(argv[2], argv[3], g_ascii_strtoll(argv[4], NULL, 10), headers);
	if (argc == 5 && strcmp(argv[1], "streams") == 0)
		return run_streams(argv[2], g_ascii_strtoll(argv[3], NULL, 10),
				   g_ascii_strtoll(argv[4], NULL, 10), headers);
	if (argc == 5 && strcmp(argv[1], "keyed") == 0)
		return run_keyed(argv[2], g_ascii_strtoll(argv[3], NULL, 10),
				 g_ascii_strtoll(argv[4], NULL, 10));
	(void)fprintf(stderr, "usage: load latency URL_A URL_B N | streams URL N TOKENS | "
			      "keyed URL N CONCURRENT\n");
	return 2;
}
