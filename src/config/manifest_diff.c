#include "manifest_diff.h"

#include <glib.h>
#include <string.h>

/* Holds the author and the reason of a revision, which are not compared. */
#define AUTHORSHIP_TABLE "change"

typedef struct diff_context {
	skh_manifest_diff_fn fn;
	void *context;
} diff_context_t;

/* Text under @key of @item, "" for none; @item can be NULL. */
static const char *get_text(const skh_doc_node_t *item, const char *key)
{
	const skh_doc_node_t *node = item ? skh_doc_node_find(item, key) : NULL;

	return node && skh_doc_node_type(node) == SKH_DOC_NODE_TEXT ? skh_doc_node_text(node) : "";
}

static bool is_array(const skh_doc_node_t *node)
{
	return node && skh_doc_node_type(node) == SKH_DOC_NODE_ARRAY;
}

static bool is_equal(const skh_doc_node_t *a, const skh_doc_node_t *b)
{
	g_autofree char *json_a = skh_doc_node_to_json(a);
	g_autofree char *json_b = skh_doc_node_to_json(b);

	return strcmp(json_a, json_b) == 0;
}

/* Calls the callback for one item; @before is NULL if it was added, @after if it was removed. */
static void report_difference(const diff_context_t *diff, const char *kind,
			      const skh_doc_node_t *before, const skh_doc_node_t *after)
{
	const skh_manifest_diff_item_t difference = {
		.kind = kind,
		.name = get_text(before ? before : after, "name"),
		.change = !before ? "added"
			  : after ? "changed"
				  : "removed",
		.owner_before = get_text(before, "owner"),
		.owner_after = get_text(after, "owner"),
	};

	diff->fn(diff->context, &difference);
}

/* Maps the name of each item to the item; both are borrowed from @list, which can be NULL. */
static GHashTable *index_items_by_name(const skh_doc_node_t *list)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; list && i < skh_doc_node_count(list); i++) {
		skh_doc_node_t *item = skh_doc_node_at(list, i);

		g_hash_table_insert(items, (gpointer)get_text(item, "name"), item);
	}
	return items;
}

/* Compares items by name; their order makes no difference. */
static void compare_lists(const diff_context_t *diff, const char *kind,
			  const skh_doc_node_t *before, const skh_doc_node_t *after)
{
	g_autoptr(GHashTable) old_items = index_items_by_name(before);
	g_autoptr(GHashTable) new_items = index_items_by_name(after);

	for (size_t i = 0; before && i < skh_doc_node_count(before); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(before, i);
		const skh_doc_node_t *match =
			g_hash_table_lookup(new_items, get_text(item, "name"));

		if (!match || !is_equal(item, match))
			report_difference(diff, kind, item, match);
	}
	for (size_t i = 0; after && i < skh_doc_node_count(after); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(after, i);

		if (!g_hash_table_contains(old_items, get_text(item, "name")))
			report_difference(diff, kind, NULL, item);
	}
}

static void compare_child(const diff_context_t *diff, const char *kind,
			  const skh_doc_node_t *before, const skh_doc_node_t *after)
{
	if (strcmp(kind, AUTHORSHIP_TABLE) == 0)
		return;
	if (is_array(before) || is_array(after))
		compare_lists(diff, kind, before, after);
	else if (!before || !after || !is_equal(before, after))
		report_difference(diff, kind, before, after);
}

void skh_manifest_diff_for_each(const skh_doc_node_t *before, const skh_doc_node_t *after,
				skh_manifest_diff_fn fn, void *context)
{
	const diff_context_t diff = { fn, context };

	for (size_t i = 0; before && i < skh_doc_node_count(before); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(before, i);
		const char *kind = skh_doc_node_key(child);

		compare_child(&diff, kind, child, skh_doc_node_find(after, kind));
	}
	for (size_t i = 0; i < skh_doc_node_count(after); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(after, i);
		const char *kind = skh_doc_node_key(child);

		if (!before || !skh_doc_node_find(before, kind))
			compare_child(&diff, kind, NULL, child);
	}
}
