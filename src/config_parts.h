#ifndef SKH_CONFIG_PARTS_H
#define SKH_CONFIG_PARTS_H

/**
 * DOC: Configuration in parts
 *
 * A manifest is kept in the key-value service as immutable parts named by
 * their content's hash, and one head that lists them. A change writes the
 * parts that differ and swaps the head, so each process fetches only those.
 */

#include "doc_node.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_config_head - the accepted configuration */
typedef struct skh_config_head {
	int64_t revision;
	int64_t accepted_unix_ms; /* when it was accepted */
	char *author;
	char *reason;
	char *attempt;		 /* of the apply that wrote it, to recognise one's own write */
	GHashTable *part_hashes; /* part name -> hash, both texts owned */
} skh_config_head_t;

/**
 * skh_config_parts_split() - cut @tree, a valid manifest
 * @texts: receives hash -> canonical JSON, owned texts
 * Return: part name -> hash.
 */
GHashTable *skh_config_parts_split(const skh_doc_node_t *tree, GHashTable *texts);

/** skh_config_parts_merge() - the manifest's tree from the texts of all parts, or NULL with @err */
skh_doc_node_t *skh_config_parts_merge(const char *const *texts, size_t n_texts, skh_error_t *err);

skh_config_head_t *skh_config_head_new(int64_t revision, const char *by, const char *reason,
				       const char *attempt, int64_t unix_ms, GHashTable *parts);
skh_config_head_t *skh_config_head_parse(const char *text, skh_error_t *err);
char *skh_config_head_to_json(const skh_config_head_t *head);
void skh_config_head_free(skh_config_head_t *head);

/** skh_config_head_changed_parts() - names of parts that differ, joined by ", "; free with g_free() */
char *skh_config_head_changed_parts(const skh_config_head_t *a, const skh_config_head_t *b);

#ifdef __cplusplus
}
#endif
#endif
