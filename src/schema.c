#include "schema.h"

#include <inttypes.h>
#include <string.h>

struct skh_validation_errors {
	GArray *list;
	bool sorted;
};

static void clear_fault(gpointer item)
{
	skh_validation_error_t *fault = item;

	g_free(fault->key);
	g_free(fault->reason);
}

skh_validation_errors_t *skh_validation_errors_new(void)
{
	skh_validation_errors_t *faults = g_new0(skh_validation_errors_t, 1);

	faults->list = g_array_new(FALSE, FALSE, sizeof(skh_validation_error_t));
	g_array_set_clear_func(faults->list, clear_fault);
	return faults;
}

void skh_validation_errors_free(skh_validation_errors_t *faults)
{
	g_array_unref(faults->list);
	g_free(faults);
}

void skh_validation_errors_add(skh_validation_errors_t *faults, uint32_t line, const char *key,
			       const char *format, ...)
{
	skh_validation_error_t fault = { .line = line, .key = g_strdup(key) };
	va_list args;

	va_start(args, format);
	fault.reason = g_strdup_vprintf(format, args);
	va_end(args);
	g_array_append_val(faults->list, fault);
	faults->sorted = false;
}

size_t skh_validation_errors_count(const skh_validation_errors_t *faults)
{
	return faults->list->len;
}

static gint compare_faults(gconstpointer a, gconstpointer b)
{
	const skh_validation_error_t *left = a;
	const skh_validation_error_t *right = b;

	if (left->line != right->line)
		return left->line < right->line ? -1 : 1;
	return strcmp(left->key, right->key);
}

const skh_validation_error_t *skh_validation_errors_at(skh_validation_errors_t *faults,
						       size_t index)
{
	if (!faults->sorted) {
		g_array_sort(faults->list, compare_faults);
		faults->sorted = true;
	}
	return &g_array_index(faults->list, skh_validation_error_t, index);
}

typedef struct reading {
	const skh_field_t *field;
	const skh_doc_node_t *node;
	const char *key;
	skh_validation_errors_t *faults;
} reading_t;

static void fault_type(const reading_t *reading, const char *wanted)
{
	skh_validation_errors_add(reading->faults, skh_doc_node_line(reading->node), reading->key,
				  "expected %s, found %s", wanted,
				  skh_doc_node_type_name(skh_doc_node_type(reading->node)));
}

static void check_range(const reading_t *reading, double value, const char *what)
{
	const skh_field_t *field = reading->field;

	if (field->min == 0 && field->max == 0)
		return;
	if (value >= (double)field->min && value <= (double)field->max)
		return;
	skh_validation_errors_add(reading->faults, skh_doc_node_line(reading->node), reading->key,
				  "%s must be from %" PRId64 " to %" PRId64, what, field->min,
				  field->max);
}

static void read_text(const reading_t *reading, void *target)
{
	if (skh_doc_node_type(reading->node) != SKH_DOC_NODE_TEXT) {
		fault_type(reading, "text");
		return;
	}
	*(const char **)target = skh_doc_node_text(reading->node);
	check_range(reading, (double)strlen(skh_doc_node_text(reading->node)), "length");
}

static void read_texts(const reading_t *reading, void *target)
{
	if (skh_doc_node_type(reading->node) != SKH_DOC_NODE_ARRAY) {
		fault_type(reading, "array of texts");
		return;
	}
	for (size_t i = 0; i < skh_doc_node_count(reading->node); i++) {
		const skh_doc_node_t *item = skh_doc_node_at(reading->node, i);

		if (skh_doc_node_type(item) != SKH_DOC_NODE_TEXT) {
			skh_validation_errors_add(reading->faults, skh_doc_node_line(item),
						  reading->key, "expected text, found %s",
						  skh_doc_node_type_name(skh_doc_node_type(item)));
			return;
		}
	}
	*(const skh_doc_node_t **)target = reading->node;
}

static void read_choice(const reading_t *reading, void *target)
{
	if (skh_doc_node_type(reading->node) != SKH_DOC_NODE_TEXT) {
		fault_type(reading, "text");
		return;
	}
	for (int32_t i = 0; reading->field->choices[i]; i++) {
		if (strcmp(reading->field->choices[i], skh_doc_node_text(reading->node)) == 0) {
			*(int32_t *)target = i;
			return;
		}
	}
	skh_validation_errors_add(reading->faults, skh_doc_node_line(reading->node), reading->key,
				  "\"%s\" is not one of the known choices",
				  skh_doc_node_text(reading->node));
}

static void read_number(const reading_t *reading, void *target)
{
	skh_doc_node_type_t type = skh_doc_node_type(reading->node);

	if (reading->field->type == SKH_FIELD_INTEGER && type != SKH_DOC_NODE_INTEGER) {
		fault_type(reading, "integer");
		return;
	}
	if (type != SKH_DOC_NODE_INTEGER && type != SKH_DOC_NODE_REAL) {
		fault_type(reading, "number");
		return;
	}
	check_range(reading, skh_doc_node_real(reading->node), "value");
	if (reading->field->type == SKH_FIELD_INTEGER)
		*(int64_t *)target = skh_doc_node_integer(reading->node);
	else
		*(double *)target = skh_doc_node_real(reading->node);
}

static void read_field(const reading_t *reading, void *target)
{
	switch (reading->field->type) {
	case SKH_FIELD_TEXT:
		read_text(reading, target);
		break;
	case SKH_FIELD_TEXT_ARRAY:
		read_texts(reading, target);
		break;
	case SKH_FIELD_INTEGER:
	case SKH_FIELD_REAL:
		read_number(reading, target);
		break;
	case SKH_FIELD_CHOICE:
		read_choice(reading, target);
		break;
	case SKH_FIELD_BOOL:
		if (skh_doc_node_type(reading->node) == SKH_DOC_NODE_BOOL)
			*(bool *)target = skh_doc_node_bool(reading->node);
		else
			fault_type(reading, "bool");
		break;
	case SKH_FIELD_ARRAY:
		if (skh_doc_node_type(reading->node) == SKH_DOC_NODE_ARRAY)
			*(const skh_doc_node_t **)target = reading->node;
		else
			fault_type(reading, "array");
		break;
	}
}

static char *join_key(const char *path, const char *key)
{
	return *path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
}

static void refuse_unknown(const skh_doc_node_t *table, const char *path, const skh_field_t *fields,
			   size_t n_fields, skh_validation_errors_t *faults)
{
	for (size_t i = 0; i < skh_doc_node_count(table); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(table, i);
		bool known = false;

		for (size_t f = 0; f < n_fields && !known; f++)
			known = strcmp(fields[f].key, skh_doc_node_key(child)) == 0;
		if (!known) {
			g_autofree char *key = join_key(path, skh_doc_node_key(child));

			skh_validation_errors_add(faults, skh_doc_node_line(child), key,
						  "unknown key");
		}
	}
}

void skh_schema_read(const skh_doc_node_t *table, const char *path, uint32_t line,
		     const skh_field_t *fields, size_t n_fields, void *base,
		     skh_validation_errors_t *faults)
{
	if (table && skh_doc_node_type(table) != SKH_DOC_NODE_TABLE) {
		skh_validation_errors_add(faults, skh_doc_node_line(table), path,
					  "expected table, found %s",
					  skh_doc_node_type_name(skh_doc_node_type(table)));
		return;
	}
	for (size_t f = 0; f < n_fields; f++) {
		g_autofree char *key = join_key(path, fields[f].key);
		const skh_doc_node_t *node = table ? skh_doc_node_find(table, fields[f].key) : NULL;
		reading_t reading = { &fields[f], node, key, faults };

		if (node)
			read_field(&reading, (char *)base + fields[f].offset);
		else if (fields[f].required)
			skh_validation_errors_add(faults, table ? skh_doc_node_line(table) : line,
						  key, "missing");
	}
	if (table)
		refuse_unknown(table, path, fields, n_fields, faults);
}
