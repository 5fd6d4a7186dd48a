#include "instances.h"

#include "schema.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TEXT_BYTES 255

typedef struct raw_member {
	const char *role;
	const char *link;
	const char *admin;
	const char *failure_domain;
	int32_t state;
} raw_member_t;

static const char *const state_choices[] = { "live", "leaving", NULL };

#define TEXT(key, required)                                                                        \
	{                                                                                          \
#key, SKH_FIELD_TEXT, required, offsetof(raw_member_t, key), 0, MAX_TEXT_BYTES,    \
			NULL                                                                       \
	}

static const skh_field_t member_fields[] = {
	TEXT(role, true),
	TEXT(link, false),
	TEXT(admin, false),
	TEXT(failure_domain, true),
	{ "state", SKH_FIELD_CHOICE, true, offsetof(raw_member_t, state), 0, 0, state_choices },
};

static bool read_member(const char *id, const char *value, skh_instance_t *member)
{
	skh_error_t err;
	skh_doc_node_t *node = skh_doc_node_from_json(skh_chunk_from_string(value), &err);
	skh_validation_errors_t *faults = skh_validation_errors_new();
	raw_member_t raw = { "", "", "", "", 0 };
	bool good;

	if (node)
		skh_schema_read(node, "", 0, member_fields, G_N_ELEMENTS(member_fields), &raw,
				faults);
	good = node && skh_validation_errors_count(faults) == 0;
	if (good)
		*member = (skh_instance_t){
			g_strdup(id),	     g_strdup(raw.role),	   g_strdup(raw.link),
			g_strdup(raw.admin), g_strdup(raw.failure_domain), raw.state == 1
		};
	skh_validation_errors_free(faults);
	skh_doc_node_free(node);
	return good;
}

static int compare_ids(const void *a, const void *b)
{
	return strcmp(((const skh_instance_t *)a)->id, ((const skh_instance_t *)b)->id);
}

skh_instances_t *skh_instances_parse(const skh_kv_pairs_t *pairs, const char *prefix, size_t *n_bad)
{
	skh_instances_t *members = g_new0(skh_instances_t, 1);

	*n_bad = 0;
	members->list = g_new0(skh_instance_t, pairs->count);
	for (size_t i = 0; i < pairs->count; i++) {
		const char *id = pairs->list[i].key + strlen(prefix);

		if (read_member(id, pairs->list[i].value, &members->list[members->count]))
			members->count++;
		else
			(*n_bad)++;
	}
	if (members->count > 0)
		qsort(members->list, members->count, sizeof(skh_instance_t), compare_ids);
	return members;
}

const skh_instance_t *skh_instances_find(const skh_instances_t *members, const char *id)
{
	const skh_instance_t wanted = { .id = (char *)id };

	if (members->count == 0)
		return NULL;
	return bsearch(&wanted, members->list, members->count, sizeof(skh_instance_t), compare_ids);
}

size_t skh_instances_count_role(const skh_instances_t *members, const char *role)
{
	size_t count = 0;

	for (size_t i = 0; i < members->count; i++)
		count += strcmp(members->list[i].role, role) == 0 && !members->list[i].leaving;
	return count;
}

void skh_instances_clear(skh_instances_t *members)
{
	for (size_t i = 0; i < members->count; i++) {
		skh_instance_t *member = &members->list[i];

		g_free(member->id);
		g_free(member->role);
		g_free(member->link_address);
		g_free(member->admin_address);
		g_free(member->failure_domain);
	}
	g_free(members->list);
	*members = (skh_instances_t){ 0 };
}

void skh_instances_free(skh_instances_t *members)
{
	if (!members)
		return;
	skh_instances_clear(members);
	g_free(members);
}
