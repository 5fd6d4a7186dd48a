#include "doc_node.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

struct skh_doc_node {
	skh_doc_node_type_t type;
	uint32_t line;
	char *key;
	char *text;
	union {
		int64_t integer;
		double real;
		bool boolean;
	} value;
	GPtrArray *children;
};

static skh_doc_node_t *new_node(skh_doc_node_type_t type, uint32_t line)
{
	skh_doc_node_t *node = g_new0(skh_doc_node_t, 1);

	node->type = type;
	node->line = line;
	return node;
}

static void free_child(gpointer child)
{
	skh_doc_node_free(child);
}

static skh_doc_node_t *new_parent(skh_doc_node_type_t type, uint32_t line)
{
	skh_doc_node_t *node = new_node(type, line);

	node->children = g_ptr_array_new_with_free_func(free_child);
	return node;
}

skh_doc_node_t *skh_doc_node_new_table(uint32_t line)
{
	return new_parent(SKH_DOC_NODE_TABLE, line);
}

skh_doc_node_t *skh_doc_node_new_array(uint32_t line)
{
	return new_parent(SKH_DOC_NODE_ARRAY, line);
}

skh_doc_node_t *skh_doc_node_new_text(const char *text, uint32_t line)
{
	skh_doc_node_t *node = new_node(SKH_DOC_NODE_TEXT, line);

	node->text = g_strdup(text);
	return node;
}

skh_doc_node_t *skh_doc_node_new_integer(int64_t value, uint32_t line)
{
	skh_doc_node_t *node = new_node(SKH_DOC_NODE_INTEGER, line);

	node->value.integer = value;
	return node;
}

skh_doc_node_t *skh_doc_node_new_real(double value, uint32_t line)
{
	skh_doc_node_t *node = new_node(SKH_DOC_NODE_REAL, line);

	node->value.real = value;
	return node;
}

skh_doc_node_t *skh_doc_node_new_bool(bool value, uint32_t line)
{
	skh_doc_node_t *node = new_node(SKH_DOC_NODE_BOOL, line);

	node->value.boolean = value;
	return node;
}

skh_doc_node_t *skh_doc_node_copy(const skh_doc_node_t *node)
{
	skh_doc_node_t *copy = new_node(node->type, node->line);

	copy->text = g_strdup(node->text);
	copy->value = node->value;
	if (!node->children)
		return copy;
	copy->children = g_ptr_array_new_with_free_func(free_child);
	for (size_t i = 0; i < node->children->len; i++) {
		const skh_doc_node_t *child = skh_doc_node_at(node, i);

		skh_doc_node_add(copy, child->key, skh_doc_node_copy(child));
	}
	return copy;
}

void skh_doc_node_free(skh_doc_node_t *node)
{
	if (!node)
		return;
	if (node->children)
		g_ptr_array_unref(node->children);
	g_free(node->key);
	g_free(node->text);
	g_free(node);
}

void skh_doc_node_add(skh_doc_node_t *parent, const char *key, skh_doc_node_t *child)
{
	g_free(child->key);
	child->key = g_strdup(key);
	g_ptr_array_add(parent->children, child);
}

skh_doc_node_type_t skh_doc_node_type(const skh_doc_node_t *node)
{
	return node->type;
}

const char *skh_doc_node_type_name(skh_doc_node_type_t type)
{
	static const char *const names[] = { "table", "array", "text", "integer", "real", "bool" };

	return names[type];
}

const char *skh_doc_node_key(const skh_doc_node_t *node)
{
	return node->key ? node->key : "";
}

uint32_t skh_doc_node_line(const skh_doc_node_t *node)
{
	return node->line;
}

size_t skh_doc_node_count(const skh_doc_node_t *node)
{
	return node->children ? node->children->len : 0;
}

skh_doc_node_t *skh_doc_node_at(const skh_doc_node_t *node, size_t index)
{
	return g_ptr_array_index(node->children, index);
}

skh_doc_node_t *skh_doc_node_find(const skh_doc_node_t *table, const char *key)
{
	for (size_t i = 0; i < skh_doc_node_count(table); i++) {
		skh_doc_node_t *child = skh_doc_node_at(table, i);

		if (strcmp(skh_doc_node_key(child), key) == 0)
			return child;
	}
	return NULL;
}

const char *skh_doc_node_text(const skh_doc_node_t *node)
{
	return node->text ? node->text : "";
}

int64_t skh_doc_node_integer(const skh_doc_node_t *node)
{
	return node->type == SKH_DOC_NODE_INTEGER ? node->value.integer : 0;
}

double skh_doc_node_real(const skh_doc_node_t *node)
{
	if (node->type == SKH_DOC_NODE_INTEGER)
		return (double)node->value.integer;
	return node->type == SKH_DOC_NODE_REAL ? node->value.real : 0.0;
}

bool skh_doc_node_bool(const skh_doc_node_t *node)
{
	return node->type == SKH_DOC_NODE_BOOL && node->value.boolean;
}

static json_t *to_json(const skh_doc_node_t *node)
{
	json_t *json = NULL;

	switch (node->type) {
	case SKH_DOC_NODE_TABLE:
		json = json_object();
		for (size_t i = 0; i < skh_doc_node_count(node); i++) {
			const skh_doc_node_t *child = skh_doc_node_at(node, i);

			json_object_set_new(json, skh_doc_node_key(child), to_json(child));
		}
		break;
	case SKH_DOC_NODE_ARRAY:
		json = json_array();
		for (size_t i = 0; i < skh_doc_node_count(node); i++)
			json_array_append_new(json, to_json(skh_doc_node_at(node, i)));
		break;
	case SKH_DOC_NODE_TEXT:
		json = json_string(node->text);
		break;
	case SKH_DOC_NODE_INTEGER:
		json = json_integer(node->value.integer);
		break;
	case SKH_DOC_NODE_REAL:
		json = json_real(node->value.real);
		break;
	case SKH_DOC_NODE_BOOL:
		json = json_boolean(node->value.boolean);
		break;
	}
	return json;
}

char *skh_doc_node_to_json(const skh_doc_node_t *node)
{
	json_t *json = to_json(node);
	char *encoded = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *text = g_strdup(encoded ? encoded : "{}");

	free(encoded);
	json_decref(json);
	return text;
}

static skh_doc_node_t *from_json(json_t *json)
{
	skh_doc_node_t *node;
	const char *key;
	json_t *child;
	size_t index;

	switch (json_typeof(json)) {
	case JSON_OBJECT:
		node = skh_doc_node_new_table(0);
		json_object_foreach(json, key, child) skh_doc_node_add(node, key, from_json(child));
		return node;
	case JSON_ARRAY:
		node = skh_doc_node_new_array(0);
		json_array_foreach(json, index, child)
			skh_doc_node_add(node, NULL, from_json(child));
		return node;
	case JSON_STRING:
		return skh_doc_node_new_text(json_string_value(json), 0);
	case JSON_INTEGER:
		return skh_doc_node_new_integer(json_integer_value(json), 0);
	case JSON_REAL:
		return skh_doc_node_new_real(json_real_value(json), 0);
	default:
		return skh_doc_node_new_bool(json_is_true(json), 0);
	}
}

skh_doc_node_t *skh_doc_node_from_json(skh_chunk_t text, skh_error_t *err)
{
	json_error_t json_error;
	json_t *json =
		json_loadb((const char *)text.data, text.len, JSON_REJECT_DUPLICATES, &json_error);
	skh_doc_node_t *node;

	if (!json) {
		(void)skh_error_set(err, SKH_BAD_REQUEST, "not JSON: %s", json_error.text);
		return NULL;
	}
	node = from_json(json);
	json_decref(json);
	return node;
}
