#include "instances.h"

#include "schema.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TEXT_BYTES 255

/* Fields of the JSON object of one instance; the texts are borrowed from the parsed document. */
typedef struct instance_fields {
	const char *role;
	const char *link;
	const char *admin;
	const char *failure_domain;
	int32_t state; /* index in state_choices */
} instance_fields_t;

static const char *const state_choices[] = { "live", "leaving", NULL };

#define TEXT_FIELD(key, required)                                                                  \
	{                                                                                          \
#key, SKH_FIELD_TEXT, required, offsetof(instance_fields_t, key), 0,               \
			MAX_TEXT_BYTES, NULL, SKH_ROUNDING_NONE, 0                                 \
	}

static const skh_field_t instance_schema[] = {
	TEXT_FIELD(role, true),
	TEXT_FIELD(link, false),
	TEXT_FIELD(admin, false),
	TEXT_FIELD(failure_domain, true),
	{ "state", SKH_FIELD_CHOICE, true, offsetof(instance_fields_t, state), 0, 0, state_choices,
	  SKH_ROUNDING_NONE, 0 },
};

static bool parse_instance(const char *id, const char *value, skh_instance_t *instance)
{
	skh_error_t err;
	skh_doc_node_t *node = skh_doc_node_from_json(skh_chunk_from_string(value), &err);
	skh_validation_errors_t *errors = skh_validation_errors_new();
	instance_fields_t fields = { "", "", "", "", 0 };
	bool is_valid;

	if (node)
		skh_schema_read(node, "", 0, instance_schema, G_N_ELEMENTS(instance_schema),
				&fields, errors);
	/* A longer id is no ZeroMQ routing id; cut off, it could be that of another instance. */
	is_valid = node && skh_validation_errors_count(errors) == 0 && *id &&
		   strlen(id) <= MAX_TEXT_BYTES;
	if (is_valid)
		*instance = (skh_instance_t){ g_strdup(id),
					      g_strdup(fields.role),
					      g_strdup(fields.link),
					      g_strdup(fields.admin),
					      g_strdup(fields.failure_domain),
					      fields.state == 1 };
	skh_validation_errors_free(errors);
	skh_doc_node_free(node);
	return is_valid;
}

static int compare_ids(const void *a, const void *b)
{
	return strcmp(((const skh_instance_t *)a)->id, ((const skh_instance_t *)b)->id);
}

skh_instances_t *skh_instances_parse(const skh_kv_pairs_t *pairs, const char *prefix,
				     size_t *n_invalid)
{
	skh_instances_t *instances = g_new0(skh_instances_t, 1);

	*n_invalid = 0;
	instances->list = g_new0(skh_instance_t, pairs->count);
	for (size_t i = 0; i < pairs->count; i++) {
		const char *id = pairs->list[i].key + strlen(prefix);

		if (parse_instance(id, pairs->list[i].value, &instances->list[instances->count]))
			instances->count++;
		else
			(*n_invalid)++;
	}
	if (instances->count > 0)
		qsort(instances->list, instances->count, sizeof(skh_instance_t), compare_ids);
	return instances;
}

const skh_instance_t *skh_instances_find(const skh_instances_t *instances, const char *id)
{
	const skh_instance_t key = { .id = (char *)id };

	if (instances->count == 0)
		return NULL;
	return bsearch(&key, instances->list, instances->count, sizeof(skh_instance_t),
		       compare_ids);
}

size_t skh_instances_count_role(const skh_instances_t *instances, const char *role)
{
	size_t count = 0;

	for (size_t i = 0; i < instances->count; i++)
		count += strcmp(instances->list[i].role, role) == 0 &&
			 !instances->list[i].is_leaving;
	return count;
}

void skh_instances_clear(skh_instances_t *instances)
{
	for (size_t i = 0; i < instances->count; i++) {
		skh_instance_t *instance = &instances->list[i];

		g_free(instance->id);
		g_free(instance->role);
		g_free(instance->link_address);
		g_free(instance->admin_address);
		g_free(instance->failure_domain);
	}
	g_free(instances->list);
	*instances = (skh_instances_t){ 0 };
}

void skh_instances_free(skh_instances_t *instances)
{
	if (!instances)
		return;
	skh_instances_clear(instances);
	g_free(instances);
}
