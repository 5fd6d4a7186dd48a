#ifndef SKH_DOC_NODE_H
#define SKH_DOC_NODE_H

/**
 * DOC: Document trees
 *
 * Parsed settings and manifests as a tree of nodes, independent of the format
 * (TOML or JSON). Each node stores its line in the source, for error messages.
 * A table or an array owns its children, so freeing the root frees the tree. A
 * tree takes no lock: one thread at a time can change it.
 */

#include "buffer.h"
#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_doc_node_type - type of a value */
typedef enum skh_doc_node_type {
	SKH_DOC_NODE_TABLE,
	SKH_DOC_NODE_ARRAY,
	SKH_DOC_NODE_TEXT,
	SKH_DOC_NODE_INTEGER,
	SKH_DOC_NODE_REAL,
	SKH_DOC_NODE_BOOL
} skh_doc_node_type_t;

typedef struct skh_doc_node skh_doc_node_t;

/*
 * The functions below create a node without a key. @line is the line in the
 * source, counted from 1, or 0 when unknown. Texts are copied. The result is to
 * be freed with skh_doc_node_free() or added to a parent.
 */

/** skh_doc_node_new_table() - create an empty table */
skh_doc_node_t *skh_doc_node_new_table(uint32_t line);
/** skh_doc_node_new_array() - create an empty array */
skh_doc_node_t *skh_doc_node_new_array(uint32_t line);
/** skh_doc_node_new_text() - create a text */
skh_doc_node_t *skh_doc_node_new_text(const char *text, uint32_t line);
/** skh_doc_node_new_integer() - create an integer */
skh_doc_node_t *skh_doc_node_new_integer(int64_t value, uint32_t line);
/** skh_doc_node_new_real() - create a real number */
skh_doc_node_t *skh_doc_node_new_real(double value, uint32_t line);
/** skh_doc_node_new_bool() - create a boolean */
skh_doc_node_t *skh_doc_node_new_bool(bool value, uint32_t line);
/** skh_doc_node_copy() - copy @node with all its children, but without its own key */
skh_doc_node_t *skh_doc_node_copy(const skh_doc_node_t *node);

/** skh_doc_node_free() - free @node and all its children; NULL is allowed */
void skh_doc_node_free(skh_doc_node_t *node);

/**
 * skh_doc_node_add() - append a child to a table or an array
 * @parent: table or array; takes ownership of @child
 * @key: key of @child in a table, NULL in an array; copied
 * @child: node without a parent
 */
void skh_doc_node_add(skh_doc_node_t *parent, const char *key, skh_doc_node_t *child);

/** skh_doc_node_type() - type of @node */
skh_doc_node_type_t skh_doc_node_type(const skh_doc_node_t *node);
/** skh_doc_node_type_name() - name of @type for error messages */
const char *skh_doc_node_type_name(skh_doc_node_type_t type);
/** skh_doc_node_key() - key in the parent table, valid while @node exists; "" for none */
const char *skh_doc_node_key(const skh_doc_node_t *node);
/** skh_doc_node_line() - line in the source; 0 when unknown */
uint32_t skh_doc_node_line(const skh_doc_node_t *node);
/** skh_doc_node_count() - number of children; 0 unless @node is a table or an array */
size_t skh_doc_node_count(const skh_doc_node_t *node);
/** skh_doc_node_at() - child at @index, which must be below the count; owned by @node */
skh_doc_node_t *skh_doc_node_at(const skh_doc_node_t *node, size_t index);
/** skh_doc_node_find() - first child with @key, owned by @table; NULL for none */
skh_doc_node_t *skh_doc_node_find(const skh_doc_node_t *table, const char *key);
/** skh_doc_node_text() - value of a text, valid while @node exists; "" for other types */
const char *skh_doc_node_text(const skh_doc_node_t *node);
/** skh_doc_node_integer() - value of an integer; 0 for other types */
int64_t skh_doc_node_integer(const skh_doc_node_t *node);
/** skh_doc_node_real() - value of a real number or an integer; 0 for other types */
double skh_doc_node_real(const skh_doc_node_t *node);
/** skh_doc_node_bool() - value of a boolean; false for other types */
bool skh_doc_node_bool(const skh_doc_node_t *node);

/**
 * skh_doc_node_to_json() - write @node as canonical JSON: keys sorted, no white space
 * Return: an owned text, to be freed with g_free(); "{}" when the JSON encoder fails.
 */
char *skh_doc_node_to_json(const skh_doc_node_t *node);

/**
 * skh_doc_node_from_json() - parse a JSON document
 * @text: the document; duplicate keys are errors
 * @err: set to SKH_BAD_REQUEST on failure
 *
 * All nodes have line 0. A null value becomes false.
 *
 * Return: the root, to be freed with skh_doc_node_free(); NULL on failure.
 */
skh_doc_node_t *skh_doc_node_from_json(skh_chunk_t text, skh_error_t *err);

/**
 * skh_doc_node_from_toml() - parse a TOML document
 * @text: the document; only ASCII characters
 * @error_line: set to the line of the first error, counted from 1, on failure
 * @err: set to SKH_CONFIG_INVALID on failure
 *
 * Return: the root, to be freed with skh_doc_node_free(); NULL on failure.
 */
skh_doc_node_t *skh_doc_node_from_toml(skh_chunk_t text, uint32_t *error_line, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
