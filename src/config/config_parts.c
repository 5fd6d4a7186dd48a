#include "config_parts.h"

#include <inttypes.h>
#include <string.h>

#define N_BUCKETS      64
#define BASE_PART_NAME "base"

/*
 * Collections that can grow long. Their items are distributed over buckets by the hash of the
 * item's name, so that a change of one item rewrites one small part.
 */
static const char *const bucketed_collections[] = { "customer", "group", NULL };

static char *bucket_part_name(const char *collection, const skh_doc_node_t *item)
{
	const skh_doc_node_t *name = skh_doc_node_find(item, "name");
	uint64_t hash =
		skh_chunk_hash(skh_chunk_from_string(name ? skh_doc_node_text(name) : ""), 0);

	return g_strdup_printf("%s-%02u", collection, (uint32_t)(hash % N_BUCKETS));
}

static void free_node(gpointer node)
{
	skh_doc_node_free(node);
}

static skh_doc_node_t *get_or_add_part(GHashTable *trees, const char *name)
{
	skh_doc_node_t *tree = g_hash_table_lookup(trees, name);

	if (!tree) {
		tree = skh_doc_node_new_table(0);
		g_hash_table_insert(trees, g_strdup(name), tree);
	}
	return tree;
}

static skh_doc_node_t *get_or_add_array(skh_doc_node_t *tree, const char *key)
{
	skh_doc_node_t *array = skh_doc_node_find(tree, key);

	if (!array) {
		array = skh_doc_node_new_array(0);
		skh_doc_node_add(tree, key, array);
	}
	return array;
}

static void split_collection(GHashTable *trees, const skh_doc_node_t *collection)
{
	const char *key = skh_doc_node_key(collection);

	for (size_t i = 0; i < skh_doc_node_count(collection); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(collection, i);
		g_autofree char *name = bucket_part_name(key, item);
		skh_doc_node_t *array = get_or_add_array(get_or_add_part(trees, name), key);

		skh_doc_node_add(array, NULL, skh_doc_node_copy(item));
	}
}

static GHashTable *build_part_trees(const skh_doc_node_t *tree)
{
	GHashTable *trees = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_node);

	for (size_t i = 0; i < skh_doc_node_count(tree); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(tree, i);

		/* Author and reason go into the head, so that they don't change a part's hash. */
		if (strcmp(skh_doc_node_key(child), "change") == 0)
			continue;
		if (g_strv_contains(bucketed_collections, skh_doc_node_key(child)))
			split_collection(trees, child);
		else
			skh_doc_node_add(get_or_add_part(trees, BASE_PART_NAME),
					 skh_doc_node_key(child), skh_doc_node_copy(child));
	}
	return trees;
}

GHashTable *skh_config_parts_split(const skh_doc_node_t *tree, GHashTable *texts)
{
	GHashTable *parts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_autoptr(GHashTable) trees = build_part_trees(tree);
	GHashTableIter iter;
	gpointer name;
	gpointer part;

	g_hash_table_iter_init(&iter, trees);
	while (g_hash_table_iter_next(&iter, &name, &part)) {
		char *text = skh_doc_node_to_json(part);
		char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

		g_hash_table_replace(texts, g_strdup(hash), text);
		g_hash_table_insert(parts, g_strdup(name), hash);
	}
	return parts;
}

static void merge_child(skh_doc_node_t *tree, const skh_doc_node_t *child)
{
	skh_doc_node_t *array;

	if (skh_doc_node_type(child) != SKH_DOC_NODE_ARRAY) {
		skh_doc_node_add(tree, skh_doc_node_key(child), skh_doc_node_copy(child));
		return;
	}
	array = get_or_add_array(tree, skh_doc_node_key(child));
	for (size_t i = 0; i < skh_doc_node_count(child); i++)
		skh_doc_node_add(array, NULL, skh_doc_node_copy(skh_doc_node_at(child, i)));
}

skh_doc_node_t *skh_config_parts_merge(const char *const *texts, size_t n_texts, skh_error_t *err)
{
	skh_doc_node_t *tree = skh_doc_node_new_table(0);

	for (size_t t = 0; t < n_texts; t++) {
		skh_doc_node_t *part = skh_doc_node_from_json(skh_chunk_from_string(texts[t]), err);

		if (!part) {
			skh_doc_node_free(tree);
			return NULL;
		}
		for (size_t i = 0; i < skh_doc_node_count(part); i++)
			merge_child(tree, skh_doc_node_at(part, i));
		skh_doc_node_free(part);
	}
	return tree;
}

skh_config_head_t *skh_config_head_new(int64_t revision, const char *author, const char *reason,
				       const char *apply_id, int64_t unix_ms, GHashTable *parts)
{
	skh_config_head_t *head = g_new0(skh_config_head_t, 1);

	head->revision = revision;
	head->accepted_unix_ms = unix_ms;
	head->author = g_strdup(author);
	head->reason = g_strdup(reason);
	head->apply_id = g_strdup(apply_id);
	head->part_hashes = g_hash_table_ref(parts);
	return head;
}

static const char *get_text(const skh_doc_node_t *table, const char *key)
{
	const skh_doc_node_t *node = skh_doc_node_find(table, key);

	return node ? skh_doc_node_text(node) : "";
}

static int64_t get_integer(const skh_doc_node_t *table, const char *key)
{
	const skh_doc_node_t *node = skh_doc_node_find(table, key);

	return node ? skh_doc_node_integer(node) : 0;
}

skh_config_head_t *skh_config_head_parse(const char *text, skh_error_t *err)
{
	skh_doc_node_t *tree = skh_doc_node_from_json(skh_chunk_from_string(text), err);
	skh_doc_node_t *list = tree ? skh_doc_node_find(tree, "parts") : NULL;
	g_autoptr(GHashTable) parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	skh_config_head_t *head = NULL;

	if (list && get_integer(tree, "revision") > 0) {
		for (size_t i = 0; i < skh_doc_node_count(list); i++) {
			const skh_doc_node_t *part = skh_doc_node_at(list, i);

			g_hash_table_insert(parts, g_strdup(skh_doc_node_key(part)),
					    g_strdup(skh_doc_node_text(part)));
		}
		head = skh_config_head_new(get_integer(tree, "revision"), get_text(tree, "by"),
					   get_text(tree, "reason"), get_text(tree, "attempt"),
					   get_integer(tree, "unix_ms"), parts);
	} else if (tree) {
		(void)skh_error_set(err, SKH_CONFIG_INVALID,
				    "the configuration head has no revision or no parts");
	}
	skh_doc_node_free(tree);
	return head;
}

char *skh_config_head_to_json(const skh_config_head_t *head)
{
	skh_doc_node_t *tree = skh_doc_node_new_table(0);
	skh_doc_node_t *parts = skh_doc_node_new_table(0);
	GHashTableIter iter;
	gpointer name;
	gpointer hash;
	char *text;

	g_hash_table_iter_init(&iter, head->part_hashes);
	while (g_hash_table_iter_next(&iter, &name, &hash))
		skh_doc_node_add(parts, name, skh_doc_node_new_text(hash, 0));
	skh_doc_node_add(tree, "revision", skh_doc_node_new_integer(head->revision, 0));
	skh_doc_node_add(tree, "unix_ms", skh_doc_node_new_integer(head->accepted_unix_ms, 0));
	skh_doc_node_add(tree, "by", skh_doc_node_new_text(head->author, 0));
	skh_doc_node_add(tree, "reason", skh_doc_node_new_text(head->reason, 0));
	skh_doc_node_add(tree, "attempt", skh_doc_node_new_text(head->apply_id, 0));
	skh_doc_node_add(tree, "parts", parts);
	text = skh_doc_node_to_json(tree);
	skh_doc_node_free(tree);
	return text;
}

void skh_config_head_free(skh_config_head_t *head)
{
	if (!head)
		return;
	g_hash_table_unref(head->part_hashes);
	g_free(head->author);
	g_free(head->reason);
	g_free(head->apply_id);
	g_free(head);
}

static void add_differing_names(const skh_config_head_t *from, const skh_config_head_t *to,
				bool only_missing, GPtrArray *names)
{
	GHashTableIter iter;
	gpointer name;
	gpointer hash;

	g_hash_table_iter_init(&iter, from->part_hashes);
	while (g_hash_table_iter_next(&iter, &name, &hash)) {
		const char *other_hash = g_hash_table_lookup(to->part_hashes, name);

		if (!other_hash || (!only_missing && strcmp(other_hash, hash) != 0))
			g_ptr_array_add(names, name);
	}
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

char *skh_config_head_changed_parts(const skh_config_head_t *a, const skh_config_head_t *b)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();

	add_differing_names(a, b, false, names);
	add_differing_names(b, a, true, names);
	g_ptr_array_sort(names, compare_names);
	g_ptr_array_add(names, NULL);
	return g_strjoinv(", ", (char **)names->pdata);
}
