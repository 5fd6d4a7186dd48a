#include "manifest_diff.h"

#include <glib.h>
#include <string.h>

#define CHANGE_TABLE "change"

typedef struct comparing {
	skh_manifest_diff_fn fn;
	void *context;
} comparing_t;

static const char *text_at(const skh_doc_node_t *item, const char *key)
{
	const skh_doc_node_t *node = item ? skh_doc_node_find(item, key) : NULL;

	return node && skh_doc_node_type(node) == SKH_DOC_NODE_TEXT ? skh_doc_node_text(node) : "";
}

static bool is_list(const skh_doc_node_t *node)
{
	return node && skh_doc_node_type(node) == SKH_DOC_NODE_ARRAY;
}

static bool is_same(const skh_doc_node_t *a, const skh_doc_node_t *b)
{
	g_autofree char *left = skh_doc_node_to_json(a);
	g_autofree char *right = skh_doc_node_to_json(b);

	return strcmp(left, right) == 0;
}

static void tell(const comparing_t *comparing, const char *kind, const skh_doc_node_t *before,
		 const skh_doc_node_t *after)
{
	const skh_manifest_diff_item_t difference = {
		.kind = kind,
		.name = text_at(before ? before : after, "name"),
		.change = !before ? "added"
			  : after ? "changed"
				  : "removed",
		.owner_before = text_at(before, "owner"),
		.owner_after = text_at(after, "owner"),
	};

	comparing->fn(comparing->context, &difference);
}

/* name -> item */
static GHashTable *index_items(const skh_doc_node_t *list)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; list && i < skh_doc_node_count(list); i++) {
		skh_doc_node_t *item = skh_doc_node_at(list, i);

		g_hash_table_insert(items, (gpointer)text_at(item, "name"), item);
	}
	return items;
}

static void compare_lists(const comparing_t *comparing, const char *kind,
			  const skh_doc_node_t *before, const skh_doc_node_t *after)
{
	g_autoptr(GHashTable) old_items = index_items(before);
	g_autoptr(GHashTable) new_items = index_items(after);

	for (size_t i = 0; before && i < skh_doc_node_count(before); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(before, i);
		const skh_doc_node_t *now = g_hash_table_lookup(new_items, text_at(item, "name"));

		if (!now || !is_same(item, now))
			tell(comparing, kind, item, now);
	}
	for (size_t i = 0; after && i < skh_doc_node_count(after); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(after, i);

		if (!g_hash_table_contains(old_items, text_at(item, "name")))
			tell(comparing, kind, NULL, item);
	}
}

static void compare_child(const comparing_t *comparing, const char *kind,
			  const skh_doc_node_t *before, const skh_doc_node_t *after)
{
	if (strcmp(kind, CHANGE_TABLE) == 0)
		return;
	if (is_list(before) || is_list(after))
		compare_lists(comparing, kind, before, after);
	else if (!before || !after || !is_same(before, after))
		tell(comparing, kind, before, after);
}

void skh_manifest_diff_for_each(const skh_doc_node_t *before, const skh_doc_node_t *after,
				skh_manifest_diff_fn fn, void *context)
{
	const comparing_t comparing = { fn, context };

	for (size_t i = 0; before && i < skh_doc_node_count(before); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(before, i);
		const char *kind = skh_doc_node_key(child);

		compare_child(&comparing, kind, child, skh_doc_node_find(after, kind));
	}
	for (size_t i = 0; i < skh_doc_node_count(after); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(after, i);
		const char *kind = skh_doc_node_key(child);

		if (!before || !skh_doc_node_find(before, kind))
			compare_child(&comparing, kind, NULL, child);
	}
}
