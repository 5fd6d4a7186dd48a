#include "prompt_parts.h"

#include "buffer.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Hashes the id of the entry at @entry, which ends at a colon, a comma or the end of the text. */
static bool hash_part(const char *entry, uint64_t seed, uint64_t *hash)
{
	g_autofree char *id = NULL;

	entry += strspn(entry, " \t");
	id = g_ascii_strdown(entry, (gssize)strcspn(entry, ":, \t"));
	*hash = skh_chunk_hash(skh_chunk_from_string(id), seed);
	return *id != '\0';
}

skh_prompt_parts_t skh_prompt_parts_parse(const char *list, const char *service)
{
	uint64_t seed = skh_chunk_hash(skh_chunk_from_string(service), 0);
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	skh_prompt_parts_t parts = { .count = 0 };
	const char *comma;

	/* The entry behind the last comma is not shared. */
	for (; list && (comma = strchr(list, ',')) != NULL; list = comma + 1) {
		uint64_t hash;

		if (hash_part(list, seed, &hash))
			g_array_append_val(hashes, hash);
	}
	parts.count = hashes->len;
	parts.hashes = (uint64_t *)(void *)g_array_free(hashes, FALSE);
	return parts;
}

void skh_prompt_parts_clear(skh_prompt_parts_t *parts)
{
	g_free(parts->hashes);
	*parts = (skh_prompt_parts_t){ .count = 0 };
}

char *skh_prompt_parts_format(const skh_prompt_parts_t *parts)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < parts->count; i++)
		g_string_append_printf(text, "%s%016" PRIx64, i ? "," : "", parts->hashes[i]);
	return g_string_free(text, FALSE);
}
