#include "http_client.h"

#include <curl/curl.h>
#include <glib.h>

#define TIMEOUT_MS 2000L
#define HTTP_OK	   200

static size_t append_body(char *data, size_t size, size_t n_items, void *body)
{
	skh_buffer_append(body, skh_chunk_make(data, size * n_items));
	return size * n_items;
}

bool skh_http_client_get(const char *address, const char *path, skh_buffer_t *body,
			 skh_error_t *err)
{
	CURL *curl = curl_easy_init();
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	long status = 0;
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	if (code != CURLE_OK)
		return skh_error_set(err, SKH_NO_BACKEND, "%s: %s", address,
				     curl_easy_strerror(code));
	if (status != HTTP_OK)
		return skh_error_set(err, SKH_BACKEND_FAILED,
				     "%s: expected HTTP status 200, got %ld", address, status);
	return true;
}
