#include "schema.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

struct skh_validation_errors {
	GArray *list;
	bool is_sorted;
};

static void clear_error(gpointer item)
{
	skh_validation_error_t *error = item;

	g_free(error->key);
	g_free(error->reason);
}

skh_validation_errors_t *skh_validation_errors_new(void)
{
	skh_validation_errors_t *errors = g_new0(skh_validation_errors_t, 1);

	errors->list = g_array_new(FALSE, FALSE, sizeof(skh_validation_error_t));
	g_array_set_clear_func(errors->list, clear_error);
	return errors;
}

void skh_validation_errors_free(skh_validation_errors_t *errors)
{
	g_array_unref(errors->list);
	g_free(errors);
}

void skh_validation_errors_add(skh_validation_errors_t *errors, uint32_t line, const char *key,
			       const char *format, ...)
{
	skh_validation_error_t error = { .line = line, .key = g_strdup(key) };
	va_list args;

	va_start(args, format);
	error.reason = g_strdup_vprintf(format, args);
	va_end(args);
	g_array_append_val(errors->list, error);
	errors->is_sorted = false;
}

size_t skh_validation_errors_count(const skh_validation_errors_t *errors)
{
	return errors->list->len;
}

static gint compare_errors(gconstpointer a, gconstpointer b)
{
	const skh_validation_error_t *left = a;
	const skh_validation_error_t *right = b;

	if (left->line != right->line)
		return left->line < right->line ? -1 : 1;
	return strcmp(left->key, right->key);
}

const skh_validation_error_t *skh_validation_errors_at(skh_validation_errors_t *errors,
						       size_t index)
{
	if (!errors->is_sorted) {
		g_array_sort(errors->list, compare_errors);
		errors->is_sorted = true;
	}
	return &g_array_index(errors->list, skh_validation_error_t, index);
}

/* One field that is read: its schema, its node and its key for error messages. */
typedef struct field_reader {
	const skh_field_t *field;
	const skh_doc_node_t *node;
	const char *key;
	skh_validation_errors_t *errors;
} field_reader_t;

static void add_type_error(const field_reader_t *reader, const char *expected)
{
	skh_validation_errors_add(reader->errors, skh_doc_node_line(reader->node), reader->key,
				  "expected %s, found %s", expected,
				  skh_doc_node_type_name(skh_doc_node_type(reader->node)));
}

/* Limits are stated in the unit of the key, which @scale converts to that of the member. */
static bool is_in_range(const field_reader_t *reader, double value, const char *quantity)
{
	const skh_field_t *field = reader->field;
	int64_t scale = MAX(field->scale, 1);

	if (field->min == 0 && field->max == 0)
		return true;
	if (value >= (double)field->min && value <= (double)field->max)
		return true;
	skh_validation_errors_add(reader->errors, skh_doc_node_line(reader->node), reader->key,
				  "%s must be from %" PRId64 " to %" PRId64, quantity,
				  field->min / scale, field->max / scale);
	return false;
}

static void read_text(const field_reader_t *reader, void *target)
{
	if (skh_doc_node_type(reader->node) != SKH_DOC_NODE_TEXT) {
		add_type_error(reader, "text");
		return;
	}
	if (is_in_range(reader, (double)strlen(skh_doc_node_text(reader->node)), "length"))
		*(const char **)target = skh_doc_node_text(reader->node);
}

static void read_text_array(const field_reader_t *reader, void *target)
{
	if (skh_doc_node_type(reader->node) != SKH_DOC_NODE_ARRAY) {
		add_type_error(reader, "array of texts");
		return;
	}
	for (size_t i = 0; i < skh_doc_node_count(reader->node); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(reader->node, i);

		if (skh_doc_node_type(item) != SKH_DOC_NODE_TEXT) {
			skh_validation_errors_add(reader->errors, skh_doc_node_line(item),
						  reader->key, "expected text, found %s",
						  skh_doc_node_type_name(skh_doc_node_type(item)));
			return;
		}
	}
	*(const skh_doc_node_t **)target = reader->node;
}

static void read_choice(const field_reader_t *reader, void *target)
{
	if (skh_doc_node_type(reader->node) != SKH_DOC_NODE_TEXT) {
		add_type_error(reader, "text");
		return;
	}
	for (int32_t i = 0; reader->field->choices[i]; i++) {
		if (strcmp(reader->field->choices[i], skh_doc_node_text(reader->node)) == 0) {
			*(int32_t *)target = i;
			return;
		}
	}
	skh_validation_errors_add(reader->errors, skh_doc_node_line(reader->node), reader->key,
				  "\"%s\" is not one of the known choices",
				  skh_doc_node_text(reader->node));
}

static void read_integer(const field_reader_t *reader, void *target)
{
	const skh_field_t *field = reader->field;
	int64_t scale = MAX(field->scale, 1);
	double value;

	if (skh_doc_node_type(reader->node) == SKH_DOC_NODE_INTEGER && scale == 1) {
		if (is_in_range(reader, skh_doc_node_real(reader->node), "value"))
			*(int64_t *)target = skh_doc_node_integer(reader->node);
		return;
	}
	value = skh_doc_node_real(reader->node) * (double)scale;
	/* Also rejects "nan", which every comparison fails for. */
	if (!is_in_range(reader, value, "value"))
		return;
	*(int64_t *)target =
		(int64_t)(field->rounding == SKH_ROUNDING_UP ? ceil(value) : floor(value));
}

static void read_number(const field_reader_t *reader, void *target)
{
	skh_doc_node_type_t type = skh_doc_node_type(reader->node);
	bool is_integer = reader->field->type == SKH_FIELD_INTEGER;
	bool accepts_fraction = !is_integer || reader->field->rounding != SKH_ROUNDING_NONE;

	if (type != SKH_DOC_NODE_INTEGER && (type != SKH_DOC_NODE_REAL || !accepts_fraction))
		add_type_error(reader, accepts_fraction ? "number" : "integer");
	else if (is_integer)
		read_integer(reader, target);
	else if (is_in_range(reader, skh_doc_node_real(reader->node), "value"))
		*(double *)target = skh_doc_node_real(reader->node);
}

static void read_field(const field_reader_t *reader, void *target)
{
	switch (reader->field->type) {
	case SKH_FIELD_TEXT:
		read_text(reader, target);
		break;
	case SKH_FIELD_TEXT_ARRAY:
		read_text_array(reader, target);
		break;
	case SKH_FIELD_INTEGER:
	case SKH_FIELD_REAL:
		read_number(reader, target);
		break;
	case SKH_FIELD_CHOICE:
		read_choice(reader, target);
		break;
	case SKH_FIELD_BOOL:
		if (skh_doc_node_type(reader->node) == SKH_DOC_NODE_BOOL)
			*(bool *)target = skh_doc_node_bool(reader->node);
		else
			add_type_error(reader, "bool");
		break;
	case SKH_FIELD_ARRAY:
		if (skh_doc_node_type(reader->node) == SKH_DOC_NODE_ARRAY)
			*(const skh_doc_node_t **)target = reader->node;
		else
			add_type_error(reader, "array");
		break;
	}
}

static char *join_key(const char *path, const char *key)
{
	return *path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
}

static void check_unknown_keys(const skh_doc_node_t *table, const char *path,
			       const skh_field_t *fields, size_t n_fields,
			       skh_validation_errors_t *errors)
{
	for (size_t i = 0; i < skh_doc_node_count(table); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(table, i);
		bool is_known = false;

		for (size_t f = 0; f < n_fields && !is_known; f++)
			is_known = strcmp(fields[f].key, skh_doc_node_key(child)) == 0;
		if (!is_known) {
			g_autofree char *key = join_key(path, skh_doc_node_key(child));

			skh_validation_errors_add(errors, skh_doc_node_line(child), key,
						  "unknown key");
		}
	}
}

void skh_schema_read(const skh_doc_node_t *table, const char *path, uint32_t line,
		     const skh_field_t *fields, size_t n_fields, void *base,
		     skh_validation_errors_t *errors)
{
	if (table && skh_doc_node_type(table) != SKH_DOC_NODE_TABLE) {
		skh_validation_errors_add(errors, skh_doc_node_line(table), path,
					  "expected table, found %s",
					  skh_doc_node_type_name(skh_doc_node_type(table)));
		return;
	}
	for (size_t f = 0; f < n_fields; f++) {
		g_autofree char *key = join_key(path, fields[f].key);
		const skh_doc_node_t *node = table ? skh_doc_node_find(table, fields[f].key) : NULL;
		field_reader_t reader = { &fields[f], node, key, errors };

		if (node)
			read_field(&reader, (char *)base + fields[f].offset);
		else if (fields[f].required)
			skh_validation_errors_add(errors, table ? skh_doc_node_line(table) : line,
						  key, "missing");
	}
	if (table)
		check_unknown_keys(table, path, fields, n_fields, errors);
}
