/* Manifests: an accepted manifest must not change when split into parts and merged. */
#include "config_parts.h"
#include "manifest.h"
#include "manifest_diff.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void abort_on_difference(void *context, const skh_manifest_diff_item_t *difference)
{
	(void)context;
	(void)difference;
	abort();
}

static void check_round_trip(const skh_manifest_t *manifest)
{
	GHashTable *part_texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTable *part_hashes = skh_config_parts_split(skh_manifest_tree(manifest), part_texts);
	guint n_parts;
	g_autofree gpointer *names = g_hash_table_get_keys_as_array(part_hashes, &n_parts);
	g_autofree const char **merge_input = g_new0(const char *, n_parts + 1);
	skh_error_t err;
	skh_doc_node_t *merged;

	for (guint i = 0; i < n_parts; i++)
		merge_input[i] =
			g_hash_table_lookup(part_texts, g_hash_table_lookup(part_hashes, names[i]));
	merged = skh_config_parts_merge(merge_input, n_parts, &err);
	if (!merged)
		abort();
	skh_manifest_diff_for_each(skh_manifest_tree(manifest), merged, abort_on_difference, NULL);
	skh_doc_node_free(merged);
	g_hash_table_unref(part_hashes);
	g_hash_table_unref(part_texts);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_manifest_t *manifest = skh_manifest_from_toml(skh_chunk_make(data, size), errors);

	if (!manifest && skh_validation_errors_count(errors) == 0)
		abort(); /* rejected without an error */
	if (manifest)
		check_round_trip(manifest);
	skh_manifest_unref(manifest);
	skh_validation_errors_free(errors);
	return 0;
}
