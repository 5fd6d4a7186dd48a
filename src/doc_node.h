#ifndef SKH_DOC_NODE_H
#define SKH_DOC_NODE_H

/**
 * DOC: Documents
 *
 * A neutral tree for settings and manifests, read from TOML or JSON. Each node
 * remembers the line it came from, so that a fault can name it. A table or an
 * array owns its children; freeing the root frees all.
 */

#include "buffer.h"
#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_doc_node_type {
	SKH_DOC_NODE_TABLE,
	SKH_DOC_NODE_ARRAY,
	SKH_DOC_NODE_TEXT,
	SKH_DOC_NODE_INTEGER,
	SKH_DOC_NODE_REAL,
	SKH_DOC_NODE_BOOL
} skh_doc_node_type_t;

typedef struct skh_doc_node skh_doc_node_t;

skh_doc_node_t *skh_doc_node_new_table(uint32_t line);
skh_doc_node_t *skh_doc_node_new_array(uint32_t line);
skh_doc_node_t *skh_doc_node_new_text(const char *text, uint32_t line);
skh_doc_node_t *skh_doc_node_new_integer(int64_t value, uint32_t line);
skh_doc_node_t *skh_doc_node_new_real(double value, uint32_t line);
skh_doc_node_t *skh_doc_node_new_bool(bool value, uint32_t line);
skh_doc_node_t *skh_doc_node_copy(const skh_doc_node_t *node);
void skh_doc_node_free(skh_doc_node_t *node);

/** skh_doc_node_add() - append @child, which @parent now owns; @key for tables */
void skh_doc_node_add(skh_doc_node_t *parent, const char *key, skh_doc_node_t *child);

skh_doc_node_type_t skh_doc_node_type(const skh_doc_node_t *node);
const char *skh_doc_node_type_name(skh_doc_node_type_t type);
const char *skh_doc_node_key(const skh_doc_node_t *node);
uint32_t skh_doc_node_line(const skh_doc_node_t *node);
size_t skh_doc_node_count(const skh_doc_node_t *node);
skh_doc_node_t *skh_doc_node_at(const skh_doc_node_t *node, size_t index);
skh_doc_node_t *skh_doc_node_find(const skh_doc_node_t *table, const char *key);
const char *skh_doc_node_text(const skh_doc_node_t *node);
int64_t skh_doc_node_integer(const skh_doc_node_t *node);
double skh_doc_node_real(const skh_doc_node_t *node);
bool skh_doc_node_bool(const skh_doc_node_t *node);

/**
 * skh_doc_node_to_json() - canonical JSON: keys sorted, no white space
 * Return: text to be freed with g_free().
 */
char *skh_doc_node_to_json(const skh_doc_node_t *node);

/** skh_doc_node_from_json() - parse JSON; NULL with @err set on failure */
skh_doc_node_t *skh_doc_node_from_json(skh_chunk_t text, skh_error_t *err);

/** skh_doc_node_from_toml() - parse TOML; NULL, the line and reason on failure */
skh_doc_node_t *skh_doc_node_from_toml(skh_chunk_t text, uint32_t *fault_line, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
