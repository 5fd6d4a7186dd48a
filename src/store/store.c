#include "store.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

static atomic_uint_fast64_t call_count;

void skh_kv_pairs_clear(skh_kv_pairs_t *pairs)
{
	for (size_t i = 0; i < pairs->count; i++) {
		g_free(pairs->list[i].key);
		g_free(pairs->list[i].value);
	}
	g_free(pairs->list);
	*pairs = (skh_kv_pairs_t){ 0 };
}

const skh_kv_pair_t *skh_kv_pairs_find(const skh_kv_pairs_t *pairs, const char *key)
{
	for (size_t i = 0; i < pairs->count; i++) {
		if (strcmp(pairs->list[i].key, key) == 0)
			return &pairs->list[i];
	}
	return NULL;
}

void skh_kv_changes_clear(skh_kv_changes_t *changes)
{
	for (size_t i = 0; i < changes->count; i++) {
		g_free(changes->list[i].key);
		g_free(changes->list[i].value);
	}
	g_free(changes->list);
	*changes = (skh_kv_changes_t){ 0 };
}

char *skh_store_decode_base64(const char *base64)
{
	gsize len = 0;
	g_autofree guchar *bytes = NULL;

	if (!base64 || !*base64)
		return g_strdup("");
	bytes = g_base64_decode(base64, &len);
	/* Not text; what stands before a zero byte may look complete. */
	if (memchr(bytes, '\0', len))
		return g_strdup("");
	return g_strndup((const char *)bytes, len);
}

size_t skh_store_append_response(char *data, size_t size, size_t n, void *context)
{
	skh_buffer_t *response = context;

	if (response->len + size * n > SKH_STORE_MAX_RESPONSE_BYTES)
		return 0;
	skh_buffer_append(response, skh_chunk_make(data, size * n));
	return size * n;
}

uint64_t skh_store_call_count(void)
{
	return atomic_load(&call_count);
}

void skh_store_record_call(void)
{
	atomic_fetch_add(&call_count, 1);
}
