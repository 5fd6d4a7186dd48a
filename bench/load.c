/*
 * Load for the benches: one thread, many requests, on libcurl's multi
 * interface.
 *
 *   load latency URL_A URL_B N         whole answers, in turn at A and at B
 *   load streams URL N TOKENS          N streams at once, token by token
 *   load keyed URL N CONCURRENT        N posts, each with a key of its own
 *
 * Prints one line of name=value figures; times are microseconds.
 */
#define _GNU_SOURCE
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STAMP "\"sent_us\":"

typedef struct samples {
	int64_t *list;
	size_t count;
	size_t capacity;
} samples_t;

typedef struct stream {
	CURL *curl;
	int64_t tokens;
	bool done;
	int64_t first_us;
	int64_t started_us;
	samples_t *token_lag;
} stream_t;

static void add_sample(samples_t *samples, int64_t value)
{
	if (samples->count == samples->capacity) {
		samples->capacity = samples->capacity ? samples->capacity * 2 : 1024;
		samples->list = g_renew(int64_t, samples->list, samples->capacity);
	}
	samples->list[samples->count++] = value;
}

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static int64_t percentile(samples_t *samples, double share)
{
	if (samples->count == 0)
		return 0;
	qsort(samples->list, samples->count, sizeof(int64_t), compare);
	return samples->list[(size_t)(share * (double)(samples->count - 1))];
}

static size_t drop(char *data, size_t size, size_t n, void *context)
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
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, drop);
	return curl;
}

static int64_t timed(CURL *curl)
{
	int64_t begin = g_get_monotonic_time();
	long status = 0;

	if (curl_easy_perform(curl) != CURLE_OK)
		return -1;
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	return status == 200 ? g_get_monotonic_time() - begin : -1;
}

static int run_latency(const char *url_a, const char *url_b, int64_t n, struct curl_slist *headers)
{
	static const char body[] = "{\"model\":\"spares-7b\",\"max_tokens\":1,\"prompt\":\"x\"}";
	CURL *a = new_request(url_a, body, headers);
	CURL *b = new_request(url_b, body, headers);
	samples_t at_a = { 0 };
	samples_t at_b = { 0 };
	int64_t failed = 0;

	for (int64_t i = 0; i < n; i++) {
		int64_t took_a = timed(a);
		int64_t took_b = timed(b);

		if (took_a < 0 || took_b < 0) {
			failed++;
			continue;
		}
		add_sample(&at_a, took_a);
		add_sample(&at_b, took_b);
	}
	(void)printf("n=%" PRId64 " failed=%" PRId64 " a_p50=%" PRId64 " a_p99=%" PRId64
		     " b_p50=%" PRId64 " b_p99=%" PRId64 "\n",
		     n, failed, percentile(&at_a, 0.50), percentile(&at_a, 0.99),
		     percentile(&at_b, 0.50), percentile(&at_b, 0.99));
	curl_easy_cleanup(a);
	curl_easy_cleanup(b);
	return failed == 0 ? 0 : 1;
}

static size_t take_tokens(char *data, size_t size, size_t n, void *context)
{
	stream_t *stream = context;
	int64_t now = g_get_monotonic_time();
	const char *end = data + size * n;
	const char *at = data;

	while ((at = g_strstr_len(at, end - at, STAMP)) != NULL) {
		at += strlen(STAMP);
		if (stream->tokens++ == 0)
			stream->first_us = now - stream->started_us;
		add_sample(stream->token_lag, now - g_ascii_strtoll(at, NULL, 10));
	}
	if (g_strstr_len(data, (gssize)(size * n), "[DONE]"))
		stream->done = true;
	return size * n;
}

static int64_t count_whole(const stream_t *streams, int64_t n, int64_t tokens)
{
	int64_t whole = 0;

	for (int64_t i = 0; i < n; i++)
		whole += streams[i].done && streams[i].tokens == tokens;
	return whole;
}

static int run_streams(const char *url, int64_t n, int64_t tokens, struct curl_slist *headers)
{
	CURLM *multi = curl_multi_init();
	stream_t *streams = g_new0(stream_t, n);
	samples_t lag = { 0 };
	samples_t first = { 0 };
	int64_t begin = g_get_monotonic_time();
	int64_t whole;
	int running = 1;

	for (int64_t i = 0; i < n; i++) {
		g_autofree char *body =
			g_strdup_printf("{\"model\":\"spares-7b\",\"stream\":true,\"stamp\":true,"
					"\"max_tokens\":%" PRId64 ",\"prompt\":\"%" PRId64 "\"}",
					tokens, i);

		streams[i].curl = new_request(url, body, headers);
		streams[i].started_us = begin;
		streams[i].token_lag = &lag;
		curl_easy_setopt(streams[i].curl, CURLOPT_WRITEFUNCTION, take_tokens);
		curl_easy_setopt(streams[i].curl, CURLOPT_WRITEDATA, &streams[i]);
		curl_multi_add_handle(multi, streams[i].curl);
	}
	while (running > 0) {
		(void)curl_multi_perform(multi, &running);
		if (running > 0)
			(void)curl_multi_poll(multi, NULL, 0, 1000, NULL);
	}
	for (int64_t i = 0; i < n; i++)
		add_sample(&first, streams[i].first_us);
	whole = count_whole(streams, n, tokens);
	(void)printf("streams=%" PRId64 " whole=%" PRId64 " seconds=%.2f first_p50=%" PRId64
		     " first_p95=%" PRId64 " lag_p50=%" PRId64 " lag_p99=%" PRId64 "\n",
		     n, whole, (double)(g_get_monotonic_time() - begin) / 1e6,
		     percentile(&first, 0.50), percentile(&first, 0.95), percentile(&lag, 0.50),
		     percentile(&lag, 0.99));
	return whole == n ? 0 : 1;
}

/* A UUID of version 7 of now, with @number in its random part. */
static char *key_of(int64_t number)
{
	uint64_t ms = (uint64_t)(g_get_real_time() / 1000);

	return g_strdup_printf("Idempotency-Key: %08" PRIx64 "-%04" PRIx64 "-7abc-8def-%012" PRIx64,
			       ms >> 16, ms & 0xffff, (uint64_t)number);
}

typedef struct keyed {
	CURL *curl;
	struct curl_slist *headers;
	int64_t begun_us;
} keyed_t;

static void begin_keyed(CURLM *multi, keyed_t *keyed, int64_t number)
{
	g_autofree char *key = key_of(number);

	curl_slist_free_all(keyed->headers);
	keyed->headers = curl_slist_append(NULL, "Authorization: Bearer clerk-key");
	keyed->headers = curl_slist_append(keyed->headers, key);
	curl_easy_setopt(keyed->curl, CURLOPT_HTTPHEADER, keyed->headers);
	keyed->begun_us = g_get_monotonic_time();
	curl_multi_add_handle(multi, keyed->curl);
}

static int run_keyed(const char *url, int64_t n, int64_t concurrent)
{
	CURLM *multi = curl_multi_init();
	keyed_t *list = g_new0(keyed_t, concurrent);
	samples_t took = { 0 };
	int64_t begun = 0;
	int64_t ended = 0;
	int64_t good = 0;
	int64_t start_us = g_get_monotonic_time();
	CURLMsg *message;
	int running;
	int left;

	for (int64_t i = 0; i < concurrent && begun < n; i++) {
		list[i].curl = new_request(url, "sold", NULL);
		curl_easy_setopt(list[i].curl, CURLOPT_PRIVATE, &list[i]);
		begin_keyed(multi, &list[i], begun++);
	}
	while (ended < n) {
		(void)curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &left)) != NULL) {
			keyed_t *keyed;
			long status = 0;

			curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&keyed);
			curl_easy_getinfo(keyed->curl, CURLINFO_RESPONSE_CODE, &status);
			add_sample(&took, g_get_monotonic_time() - keyed->begun_us);
			curl_multi_remove_handle(multi, keyed->curl);
			good += status == 201;
			ended++;
			if (begun < n)
				begin_keyed(multi, keyed, begun++);
		}
		(void)curl_multi_poll(multi, NULL, 0, 1000, NULL);
	}
	(void)printf("n=%" PRId64 " good=%" PRId64 " per_s=%.0f p50=%" PRId64 " p99=%" PRId64 "\n",
		     n, good, (double)n * 1e6 / (double)(g_get_monotonic_time() - start_us),
		     percentile(&took, 0.50), percentile(&took, 0.99));
	return good == n ? 0 : 1;
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
