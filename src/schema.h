#ifndef SKH_SCHEMA_H
#define SKH_SCHEMA_H

/**
 * DOC: Schemas
 *
 * A table of fields describes one TOML table. The reader fills a struct from a
 * node and records every fault it meets: unknown keys, wrong types, missing or
 * out-of-range values. Texts are borrowed from the node.
 */

#include "doc_node.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_validation_error - one reason why a document is refused */
typedef struct skh_validation_error {
	uint32_t line;
	char *key;
	char *reason;
} skh_validation_error_t;

typedef struct skh_validation_errors skh_validation_errors_t;

skh_validation_errors_t *skh_validation_errors_new(void);
void skh_validation_errors_free(skh_validation_errors_t *faults);
void skh_validation_errors_add(skh_validation_errors_t *faults, uint32_t line, const char *key,
			       const char *format, ...) __attribute__((format(printf, 4, 5)));
size_t skh_validation_errors_count(const skh_validation_errors_t *faults);

/** skh_validation_errors_at() - fault @index in order of line */
const skh_validation_error_t *skh_validation_errors_at(skh_validation_errors_t *faults,
						       size_t index);

typedef enum skh_field_type {
	SKH_FIELD_TEXT,	      /* const char * */
	SKH_FIELD_TEXT_ARRAY, /* const skh_doc_node_t *, an array of texts */
	SKH_FIELD_INTEGER,    /* int64_t */
	SKH_FIELD_REAL,	      /* double */
	SKH_FIELD_BOOL,	      /* bool */
	SKH_FIELD_CHOICE,     /* int32_t index into @choices */
	SKH_FIELD_ARRAY	      /* const skh_doc_node_t *, checked by the owner */
} skh_field_type_t;

/** struct skh_field - one key of a table and where its value goes */
typedef struct skh_field {
	const char *key;
	skh_field_type_t type;
	bool required;
	size_t offset;
	int64_t min; /* of an integer, a real, or the length of a text */
	int64_t max;
	const char *const *choices; /* NULL-terminated */
} skh_field_t;

/**
 * skh_schema_read() - fill @base from @table
 * @table: node to read; NULL reads as an empty table at @line
 * @path: prefix of the keys in faults, such as "http"
 */
void skh_schema_read(const skh_doc_node_t *table, const char *path, uint32_t line,
		     const skh_field_t *fields, size_t n_fields, void *base,
		     skh_validation_errors_t *faults);

#ifdef __cplusplus
}
#endif
#endif
