/* Manifests: what is accepted survives being cut into parts and put together. */
#include "manifest_diff.h"
#include "manifest.h"
#include "config_parts.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void must_not_differ(void *context, const skh_manifest_diff_item_t *difference)
{
	(void)context;
	(void)difference;
	abort();
}

static void round_trip(const skh_manifest_t *manifest)
{
	GHashTable *texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTable *parts = skh_config_parts_split(skh_manifest_tree(manifest), texts);
	guint n;
	g_autofree gpointer *names = g_hash_table_get_keys_as_array(parts, &n);
	g_autofree const char **list = g_new0(const char *, n + 1);
	skh_error_t err;
	skh_doc_node_t *tree;

	for (guint i = 0; i < n; i++)
		list[i] = g_hash_table_lookup(texts, g_hash_table_lookup(parts, names[i]));
	tree = skh_config_parts_merge(list, n, &err);
	if (!tree)
		abort();
	skh_manifest_diff_for_each(skh_manifest_tree(manifest), tree, must_not_differ, NULL);
	skh_doc_node_free(tree);
	g_hash_table_unref(parts);
	g_hash_table_unref(texts);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	skh_validation_errors_t *faults = skh_validation_errors_new();
	skh_manifest_t *manifest = skh_manifest_from_toml(skh_chunk_make(data, size), faults);

	if (!manifest && skh_validation_errors_count(faults) == 0)
		abort(); /* refused without a reason */
	if (manifest)
		round_trip(manifest);
	skh_manifest_unref(manifest);
	skh_validation_errors_free(faults);
	return 0;
}
