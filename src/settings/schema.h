#ifndef SKH_SCHEMA_H
#define SKH_SCHEMA_H

/**
 * DOC: Schema validation
 *
 * Reads a table of a document into a struct as described by an array of fields,
 * and collects a validation error for each unknown key, wrong type, missing key
 * and out-of-range value. Texts and arrays are borrowed from the document. An
 * error list is not synchronized; one thread uses it at a time.
 */

#include "doc_node.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_validation_error - one reason why a document is invalid
 * @line: line in the document, from 1; 0 when unknown
 * @key: dotted key, such as "http.listen"; "" for the whole document
 * @reason: what is wrong with the value
 */
typedef struct skh_validation_error {
	uint32_t line;
	char *key;
	char *reason;
} skh_validation_error_t;

typedef struct skh_validation_errors skh_validation_errors_t;

/** skh_validation_errors_new() - create an empty list; free with skh_validation_errors_free() */
skh_validation_errors_t *skh_validation_errors_new(void);

/** skh_validation_errors_free() - free @errors and the errors that it holds */
void skh_validation_errors_free(skh_validation_errors_t *errors);

/**
 * skh_validation_errors_add() - add an error
 * @errors: list
 * @line: line in the document; 0 when unknown
 * @key: dotted key; copied
 * @format: printf format of the reason
 */
void skh_validation_errors_add(skh_validation_errors_t *errors, uint32_t line, const char *key,
			       const char *format, ...) __attribute__((format(printf, 4, 5)));

/** skh_validation_errors_count() - number of errors */
size_t skh_validation_errors_count(const skh_validation_errors_t *errors);

/** skh_validation_errors_at() - sort the list by line and key and get error number @index */
const skh_validation_error_t *skh_validation_errors_at(skh_validation_errors_t *errors,
						       size_t index);

/** enum skh_field_type - type of a value and of the member that receives the value */
typedef enum skh_field_type {
	SKH_FIELD_TEXT,	      /* const char * */
	SKH_FIELD_TEXT_ARRAY, /* const skh_doc_node_t *, an array of texts */
	SKH_FIELD_INTEGER,    /* int64_t */
	SKH_FIELD_REAL,	      /* double */
	SKH_FIELD_BOOL,	      /* bool */
	SKH_FIELD_CHOICE,     /* int32_t, an index into @choices */
	SKH_FIELD_ARRAY	      /* const skh_doc_node_t *; the caller validates the items */
} skh_field_type_t;

/** enum skh_rounding - how a fraction is stored in an integer member */
typedef enum skh_rounding {
	SKH_ROUNDING_NONE, /* a fraction is an error */
	SKH_ROUNDING_DOWN,
	SKH_ROUNDING_UP
} skh_rounding_t;

/**
 * struct skh_field - schema of one key of a table
 * @key: key without the path of the table
 * @type: type of the value
 * @required: whether a missing key is an error
 * @offset: offset of the value in the struct that is filled
 * @min: minimum value of a number, or minimum length of a text in bytes
 * @max: maximum value or length; @min and @max both 0 disable the check
 * @choices: NULL-terminated texts that SKH_FIELD_CHOICE accepts
 * @rounding: applies to SKH_FIELD_INTEGER
 * @scale: a SKH_FIELD_INTEGER is multiplied by this before the range check; 0 counts as 1
 */
typedef struct skh_field {
	const char *key;
	skh_field_type_t type;
	bool required;
	size_t offset;
	int64_t min;
	int64_t max;
	const char *const *choices;
	skh_rounding_t rounding;
	int64_t scale;
} skh_field_t;

/**
 * skh_schema_read() - read a table into a struct
 * @table: node to read; NULL is read as an empty table at @line
 * @path: prefix of the keys in errors, such as "http"
 * @line: line of a missing table
 * @fields: schema of the table
 * @n_fields: length of @fields
 * @base: struct to fill; a member keeps its value when its key is absent or the value is invalid
 * @errors: receives the validation errors
 */
void skh_schema_read(const skh_doc_node_t *table, const char *path, uint32_t line,
		     const skh_field_t *fields, size_t n_fields, void *base,
		     skh_validation_errors_t *errors);

#ifdef __cplusplus
}
#endif
#endif
