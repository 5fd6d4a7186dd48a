#ifndef SKH_CONFIG_PARTS_H
#define SKH_CONFIG_PARTS_H

/**
 * DOC: Configuration parts
 *
 * Splits a manifest into parts and merges parts into a manifest. The key-value
 * service stores each part as an immutable value whose key is the hash of its
 * content, and one head that lists the parts. A change writes only the parts
 * that differ and replaces the head, so each process reads only those parts.
 * The functions have no state and may be called on any thread.
 */

#include "doc_node.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_config_head - description of the accepted configuration and list of its parts */
typedef struct skh_config_head {
	int64_t revision;
	int64_t accepted_unix_ms; /* Unix time of the apply */
	char *author;
	char *reason;
	char *apply_id; /* random id of the apply that wrote the head; identifies the writer */
	GHashTable *part_hashes; /* part name -> hash; both texts owned */
} skh_config_head_t;

/**
 * skh_config_parts_split() - split a manifest into parts
 * @tree: tree of a valid manifest; borrowed
 * @texts: receives hash -> canonical JSON of each part; must free its keys and values with g_free()
 *
 * Return: new hash table, part name -> hash.
 */
GHashTable *skh_config_parts_split(const skh_doc_node_t *tree, GHashTable *texts);

/**
 * skh_config_parts_merge() - merge parts into the tree of a manifest
 * @texts: JSON of all parts, in any order
 * @n_texts: length of @texts
 * @err: receives SKH_BAD_REQUEST when a part is not valid JSON
 *
 * Return: new tree without the "change" table, or NULL with @err.
 */
skh_doc_node_t *skh_config_parts_merge(const char *const *texts, size_t n_texts, skh_error_t *err);

/**
 * skh_config_head_new() - create a head
 * @revision: revision of the configuration
 * @author: author of the change; copied
 * @reason: reason of the change; copied
 * @apply_id: random id of the apply; copied
 * @unix_ms: Unix time of the apply
 * @parts: part name -> hash; the head takes a reference
 *
 * Return: a head to be freed with skh_config_head_free().
 */
skh_config_head_t *skh_config_head_new(int64_t revision, const char *author, const char *reason,
				       const char *apply_id, int64_t unix_ms, GHashTable *parts);

/** skh_config_head_parse() - create a head from its stored JSON; NULL with @err when invalid */
skh_config_head_t *skh_config_head_parse(const char *text, skh_error_t *err);

/** skh_config_head_to_json() - JSON to store for @head; free with g_free() */
char *skh_config_head_to_json(const skh_config_head_t *head);

/** skh_config_head_free() - free @head; NULL is allowed */
void skh_config_head_free(skh_config_head_t *head);

/**
 * skh_config_head_changed_parts() - list the parts that differ between two heads
 * @a: head
 * @b: head to compare with
 *
 * Return: sorted part names joined by ", ", or "" when all parts are equal; free with g_free().
 */
char *skh_config_head_changed_parts(const skh_config_head_t *a, const skh_config_head_t *b);

#ifdef __cplusplus
}
#endif
#endif
