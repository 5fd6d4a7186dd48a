#include "manifest.h"

#include <inttypes.h>
#include <string.h>

#define MAX_NAME_BYTES 64

struct skh_manifest {
	gint n_references;
	skh_doc_node_t *tree;
	const char *author;
	const char *reason;
	double skew_weight;
	double cost_weight;
	GArray *models;
	GArray *priorities;
	GArray *services;
	GArray *customers;
	GArray *groups;
	GArray *operators;
	/* SHA-256 of an API key in hexadecimal -> index + 1 of the operator or customer */
	GHashTable *operator_index_by_hash;
	GHashTable *customer_index_by_hash;
};

#define TEXT(key, struct_type, member, required)                                                   \
	{                                                                                          \
		key, SKH_FIELD_TEXT, required, offsetof(struct_type, member), 1, MAX_NAME_BYTES,   \
			NULL, SKH_ROUNDING_NONE, 0                                                 \
	}
#define TEXTS(key, struct_type, member, required)                                                  \
	{                                                                                          \
		key, SKH_FIELD_TEXT_ARRAY, required, offsetof(struct_type, member), 0, 0, NULL,    \
			SKH_ROUNDING_NONE, 0                                                       \
	}
#define NUMBER(key, field_type, struct_type, member, required, min, max)                           \
	{                                                                                          \
		key, field_type, required, offsetof(struct_type, member), min, max, NULL,          \
			SKH_ROUNDING_NONE, 0                                                       \
	}

static const char *const service_kinds[] = { "model", "plain", NULL };

static const char *const operator_roles[] = { "reader", "team", "operator", NULL };

static const skh_field_t change_fields[] = {
	TEXT("by", skh_manifest_t, author, true),
	{ "reason", SKH_FIELD_TEXT, true, offsetof(skh_manifest_t, reason), 1, 500, NULL,
	  SKH_ROUNDING_NONE, 0 },
};
static const skh_field_t balance_fields[] = {
	NUMBER("skew_weight", SKH_FIELD_REAL, skh_manifest_t, skew_weight, false, 0, 1000),
	NUMBER("cost_weight", SKH_FIELD_REAL, skh_manifest_t, cost_weight, false, 0, 1000),
};
static const skh_field_t model_fields[] = {
	TEXT("name", skh_model_t, name, true),
	TEXT("version", skh_model_t, version, true),
	NUMBER("experts", SKH_FIELD_INTEGER, skh_model_t, experts_per_layer, false, 1, 4096),
	NUMBER("layers", SKH_FIELD_INTEGER, skh_model_t, layers, false, 1, 1024),
};
static const skh_field_t priority_fields[] = {
	TEXT("name", skh_priority_t, name, true),
	NUMBER("level", SKH_FIELD_INTEGER, skh_priority_t, level, true, 0, 15),
};
static const skh_field_t service_fields[] = {
	TEXT("name", skh_service_t, name, true),
	{ "kind", SKH_FIELD_CHOICE, true, offsetof(skh_service_t, kind), 0, 0, service_kinds,
	  SKH_ROUNDING_NONE, 0 },
	TEXT("model", skh_service_t, model, false),
	TEXTS("idempotent_methods", skh_service_t, idempotent_methods, false),
	NUMBER("max_deadline_ms", SKH_FIELD_INTEGER, skh_service_t, max_deadline_ms, false, 1,
	       3600000),
	TEXT("owner", skh_service_t, owner, false),
};
static const skh_field_t customer_fields[] = {
	TEXT("name", skh_customer_t, name, true),
	TEXTS("key_sha256", skh_customer_t, key_sha256, true),
	TEXTS("services", skh_customer_t, services, true),
	TEXT("priority", skh_customer_t, priority, true),
	NUMBER("weight", SKH_FIELD_REAL, skh_customer_t, weight, false, 0, 1000000),
	NUMBER("rate_per_s", SKH_FIELD_REAL, skh_customer_t, rate_per_s, false, 0, 1000000),
	NUMBER("burst", SKH_FIELD_INTEGER, skh_customer_t, burst, false, 1, 1000000),
	NUMBER("max_in_flight", SKH_FIELD_INTEGER, skh_customer_t, max_in_flight, false, 1,
	       1000000),
	TEXT("owner", skh_customer_t, owner, false),
};
static const skh_field_t operator_fields[] = {
	TEXT("name", skh_operator_t, name, true),
	TEXTS("key_sha256", skh_operator_t, key_sha256, true),
	{ "role", SKH_FIELD_CHOICE, true, offsetof(skh_operator_t, role), 0, 0, operator_roles,
	  SKH_ROUNDING_NONE, 0 },
	TEXT("team", skh_operator_t, team, false),
};
static const skh_field_t group_fields[] = {
	TEXT("name", skh_group_t, name, true),
	TEXT("service", skh_group_t, service, true),
	NUMBER("ranks", SKH_FIELD_INTEGER, skh_group_t, ranks, true, 1, 1024),
	NUMBER("slots_per_rank", SKH_FIELD_INTEGER, skh_group_t, slots_per_rank, true, 1, 4096),
	{ "placement", SKH_FIELD_ARRAY, true, offsetof(skh_group_t, placement), 0, 0, NULL,
	  SKH_ROUNDING_NONE, 0 },
};

static const skh_model_t model_default = { .version = "", .experts_per_layer = 1, .layers = 1 };
static const skh_priority_t priority_default = { 0 };
static const skh_service_t service_default = { .model = "",
					       .max_deadline_ms = 120000,
					       .owner = "" };
static const skh_customer_t customer_default = { .priority = "",
						 .weight = 1.0,
						 .rate_per_s = 1000.0,
						 .burst = 1000,
						 .max_in_flight = 1000,
						 .owner = "" };
static const skh_operator_t operator_default = { .team = "" };
static const skh_group_t group_default = { .service = "" };

/* Schema of one array of tables of the manifest, such as [[service]]. */
typedef struct collection {
	const char *key;
	const skh_field_t *fields;
	size_t n_fields;
	size_t item_bytes;
	const void *item_default;
	size_t line_offset;
	size_t array_offset;
} collection_t;

#define COLLECTION(key, name, array)                                                               \
	{                                                                                          \
		key, name##_fields, G_N_ELEMENTS(name##_fields), sizeof(skh_##name##_t),           \
			&name##_default, offsetof(skh_##name##_t, line),                           \
			offsetof(skh_manifest_t, array)                                            \
	}

static const collection_t collections[] = {
	COLLECTION("model", model, models),	  COLLECTION("priority", priority, priorities),
	COLLECTION("service", service, services), COLLECTION("customer", customer, customers),
	COLLECTION("group", group, groups),	  COLLECTION("operator", operator, operators),
};

static GArray **get_collection_array(skh_manifest_t *manifest, const collection_t *collection)
{
	return (GArray **)((char *)manifest + collection->array_offset);
}

/* The name is the first member of every item struct, so one function serves all kinds. */
static const char *get_item_name(const GArray *array, size_t index)
{
	const char *item = array->data + index * g_array_get_element_size((GArray *)array);
	const char *name = *(const char *const *)item;

	return name ? name : "";
}

static const void *find_item(const GArray *array, const char *name)
{
	for (size_t i = 0; i < array->len; i++) {
		if (strcmp(get_item_name(array, i), name) == 0)
			return array->data + i * g_array_get_element_size((GArray *)array);
	}
	return NULL;
}

static void read_item(const skh_doc_node_t *node, const collection_t *collection, GArray *array,
		      skh_validation_errors_t *errors)
{
	g_autofree char *item = g_memdup2(collection->item_default, collection->item_bytes);

	*(uint32_t *)(item + collection->line_offset) = skh_doc_node_line(node);
	skh_schema_read(node, collection->key, skh_doc_node_line(node), collection->fields,
			collection->n_fields, item, errors);
	g_array_append_vals(array, item, 1);
}

static void read_collection(skh_manifest_t *manifest, const collection_t *collection,
			    skh_validation_errors_t *errors)
{
	const skh_doc_node_t *list = skh_doc_node_find(manifest->tree, collection->key);
	GArray *array = g_array_new(FALSE, FALSE, (guint)collection->item_bytes);

	*get_collection_array(manifest, collection) = array;
	if (!list)
		return;
	if (skh_doc_node_type(list) != SKH_DOC_NODE_ARRAY) {
		skh_validation_errors_add(errors, skh_doc_node_line(list), collection->key,
					  "expected an array of tables [[%s]]", collection->key);
		return;
	}
	for (size_t i = 0; i < skh_doc_node_count(list); i++)
		read_item(skh_doc_node_at(list, i), collection, array, errors);
}

static void check_unique_names(const GArray *array, const collection_t *collection,
			       skh_validation_errors_t *errors)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint bytes = g_array_get_element_size((GArray *)array);

	for (size_t i = 0; i < array->len; i++) {
		const char *item = array->data + i * bytes;
		uint32_t line = *(const uint32_t *)(item + collection->line_offset);

		if (!g_hash_table_add(seen, (gpointer)get_item_name(array, i))) {
			g_autofree char *key = g_strdup_printf("%s.name", collection->key);

			skh_validation_errors_add(errors, line, key, "\"%s\" stands twice",
						  get_item_name(array, i));
		}
	}
}

static void check_services(const skh_manifest_t *manifest, skh_validation_errors_t *errors)
{
	for (size_t i = 0; i < manifest->services->len; i++) {
		const skh_service_t *service = skh_manifest_service_at(manifest, i);

		if (service->kind == SKH_SERVICE_PLAIN && *service->model)
			skh_validation_errors_add(errors, service->line, "service.model",
						  "a plain service has no model");
		if (service->kind == SKH_SERVICE_MODEL &&
		    !skh_manifest_model(manifest, service->model))
			skh_validation_errors_add(errors, service->line, "service.model",
						  "no model is called \"%s\"", service->model);
	}
}

static bool is_key_hash(const char *text)
{
	return strlen(text) == SKH_KEY_HASH_CHARS &&
	       strspn(text, "0123456789abcdef") == SKH_KEY_HASH_CHARS;
}

/*
 * Maps the key hashes of the customer or operator with number @index to @index + 1; a lookup
 * returns 0 for an unknown hash. Adds an error for each hash that is malformed or listed twice.
 */
static void index_keys(GHashTable *index_by_hash, const skh_doc_node_t *hashes, size_t index,
		       const char *error_key, skh_validation_errors_t *errors)
{
	for (size_t k = 0; hashes && k < skh_doc_node_count(hashes); k++) {
		const skh_doc_node_t *node = skh_doc_node_at(hashes, k);
		char *hash = (char *)skh_doc_node_text(node);

		if (!is_key_hash(hash))
			skh_validation_errors_add(errors, skh_doc_node_line(node), error_key,
						  "not a SHA-256 in lower-case hexadecimal");
		else if (!g_hash_table_insert(index_by_hash, hash, GSIZE_TO_POINTER(index + 1)))
			skh_validation_errors_add(errors, skh_doc_node_line(node), error_key,
						  "the same key is listed twice");
	}
}

static void check_operators(skh_manifest_t *manifest, skh_validation_errors_t *errors)
{
	bool has_full_operator = false;

	for (size_t i = 0; i < manifest->operators->len; i++) {
		const skh_operator_t *op = &g_array_index(manifest->operators, skh_operator_t, i);

		index_keys(manifest->operator_index_by_hash, op->key_sha256, i,
			   "operator.key_sha256", errors);
		if ((op->role == SKH_OPERATOR_TEAM) != (*op->team != '\0'))
			skh_validation_errors_add(errors, op->line, "operator.team",
						  "an operator of role \"team\" needs a team, and "
						  "only that role has one");
		has_full_operator = has_full_operator || op->role == SKH_OPERATOR_FULL;
	}
	if (manifest->operators->len > 0 && !has_full_operator)
		skh_validation_errors_add(
			errors, 1, "operator.role",
			"no operator has the role \"operator\"; nobody could change the manifest");
}

static void check_customers(skh_manifest_t *manifest, skh_validation_errors_t *errors)
{
	for (size_t i = 0; i < manifest->customers->len; i++) {
		const skh_customer_t *customer = skh_manifest_customer_at(manifest, i);

		index_keys(manifest->customer_index_by_hash, customer->key_sha256, i,
			   "customer.key_sha256", errors);
		if (!skh_manifest_priority(manifest, customer->priority))
			skh_validation_errors_add(errors, customer->line, "customer.priority",
						  "no priority is called \"%s\"",
						  customer->priority);
		if (customer->rate_per_s <= 0.0)
			skh_validation_errors_add(errors, customer->line, "customer.rate_per_s",
						  "a rate of 0 admits nothing");
		if (customer->weight <= 0.0)
			skh_validation_errors_add(errors, customer->line, "customer.weight",
						  "must be above 0");
		for (size_t s = 0; customer->services && s < skh_doc_node_count(customer->services);
		     s++) {
			const char *name =
				skh_doc_node_text(skh_doc_node_at(customer->services, s));

			if (!skh_manifest_service(manifest, name))
				skh_validation_errors_add(errors, customer->line,
							  "customer.services",
							  "no service is called \"%s\"", name);
		}
	}
}

static void check_rank(const skh_group_t *group, size_t r, int64_t experts, int64_t *replicas,
		       skh_validation_errors_t *errors)
{
	const skh_doc_node_t *rank = skh_doc_node_at(group->placement, r);

	if ((int64_t)skh_doc_node_count(rank) > group->slots_per_rank)
		skh_validation_errors_add(errors, skh_doc_node_line(rank), "group.placement",
					  "rank %zu holds more experts than its %" PRId64 " slots",
					  r, group->slots_per_rank);
	for (size_t s = 0; s < skh_doc_node_count(rank); s++) {
		int64_t expert = skh_doc_node_integer(skh_doc_node_at(rank, s));

		if (expert < 0 || expert >= experts)
			skh_validation_errors_add(errors, skh_doc_node_line(rank),
						  "group.placement",
						  "expert %" PRId64 " does not exist", expert);
		else
			replicas[expert]++;
	}
}

static int64_t find_unplaced_expert(const int64_t *replicas, int64_t experts)
{
	int64_t expert = 0;

	while (expert < experts && replicas[expert] > 0)
		expert++;
	return expert;
}

static void check_placement(const skh_group_t *group, int64_t experts,
			    skh_validation_errors_t *errors)
{
	int64_t *replicas = g_new0(int64_t, experts);
	size_t ranks = skh_doc_node_count(group->placement);
	int64_t unplaced;

	if ((int64_t)ranks != group->ranks)
		skh_validation_errors_add(
			errors, group->line, "group.placement",
			"the placement lists %zu ranks, but the group has %" PRId64, ranks,
			group->ranks);
	for (size_t r = 0; r < ranks; r++)
		check_rank(group, r, experts, replicas, errors);
	unplaced = find_unplaced_expert(replicas, experts);
	if (unplaced < experts)
		skh_validation_errors_add(errors, group->line, "group.placement",
					  "expert %" PRId64 " is placed nowhere", unplaced);
	g_free(replicas);
}

static void check_groups(const skh_manifest_t *manifest, skh_validation_errors_t *errors)
{
	for (size_t i = 0; i < manifest->groups->len; i++) {
		const skh_group_t *group = &g_array_index(manifest->groups, skh_group_t, i);
		const skh_service_t *service = skh_manifest_service(manifest, group->service);
		const skh_model_t *model =
			service ? skh_manifest_model(manifest, service->model) : NULL;

		if (!model) {
			skh_validation_errors_add(errors, group->line, "group.service",
						  "\"%s\" is not a model service", group->service);
			continue;
		}
		if (group->ranks * group->slots_per_rank < model->experts_per_layer)
			skh_validation_errors_add(
				errors, group->line, "group.slots_per_rank",
				"%" PRId64 " slots can't hold %" PRId64 " experts",
				group->ranks * group->slots_per_rank, model->experts_per_layer);
		else if (group->placement)
			check_placement(group, model->experts_per_layer, errors);
	}
}

static void check_unknown_tables(const skh_doc_node_t *tree, skh_validation_errors_t *errors)
{
	static const char *const known_tables[] = { "change",	"balance",  "model",
						    "priority", "service",  "customer",
						    "group",	"operator", NULL };

	for (size_t i = 0; i < skh_doc_node_count(tree); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(tree, i);

		if (!g_strv_contains(known_tables, skh_doc_node_key(child)))
			skh_validation_errors_add(errors, skh_doc_node_line(child),
						  skh_doc_node_key(child), "unknown table");
	}
}

skh_manifest_t *skh_manifest_from_tree(skh_doc_node_t *tree, skh_validation_errors_t *errors)
{
	skh_manifest_t *manifest = g_new0(skh_manifest_t, 1);
	size_t n_errors_before = skh_validation_errors_count(errors);

	manifest->n_references = 1;
	manifest->tree = tree;
	manifest->skew_weight = 1.0;
	manifest->cost_weight = 1.0;
	manifest->customer_index_by_hash = g_hash_table_new(g_str_hash, g_str_equal);
	manifest->operator_index_by_hash = g_hash_table_new(g_str_hash, g_str_equal);
	skh_schema_read(skh_doc_node_find(tree, "change"), "change", 1, change_fields,
			G_N_ELEMENTS(change_fields), manifest, errors);
	skh_schema_read(skh_doc_node_find(tree, "balance"), "balance", 1, balance_fields,
			G_N_ELEMENTS(balance_fields), manifest, errors);
	for (size_t c = 0; c < G_N_ELEMENTS(collections); c++) {
		read_collection(manifest, &collections[c], errors);
		check_unique_names(*get_collection_array(manifest, &collections[c]),
				   &collections[c], errors);
	}
	check_unknown_tables(tree, errors);
	check_services(manifest, errors);
	check_customers(manifest, errors);
	check_groups(manifest, errors);
	check_operators(manifest, errors);
	if (skh_validation_errors_count(errors) > n_errors_before) {
		skh_manifest_unref(manifest);
		return NULL;
	}
	return manifest;
}

skh_manifest_t *skh_manifest_from_toml(skh_chunk_t text, skh_validation_errors_t *errors)
{
	skh_error_t err;
	uint32_t line = 0;
	skh_doc_node_t *tree = skh_doc_node_from_toml(text, &line, &err);

	if (!tree) {
		skh_validation_errors_add(errors, line, "", "%s", err.text);
		return NULL;
	}
	return skh_manifest_from_tree(tree, errors);
}

void skh_manifest_unref(skh_manifest_t *manifest)
{
	if (!manifest || !g_atomic_int_dec_and_test(&manifest->n_references))
		return;
	for (size_t c = 0; c < G_N_ELEMENTS(collections); c++)
		g_array_unref(*get_collection_array(manifest, &collections[c]));
	g_hash_table_unref(manifest->customer_index_by_hash);
	g_hash_table_unref(manifest->operator_index_by_hash);
	skh_doc_node_free(manifest->tree);
	g_free(manifest);
}

const skh_doc_node_t *skh_manifest_tree(const skh_manifest_t *manifest)
{
	return manifest->tree;
}

const char *skh_manifest_author(const skh_manifest_t *manifest)
{
	return manifest->author;
}

const char *skh_manifest_reason(const skh_manifest_t *manifest)
{
	return manifest->reason;
}

double skh_manifest_skew_weight(const skh_manifest_t *manifest)
{
	return manifest->skew_weight;
}

double skh_manifest_cost_weight(const skh_manifest_t *manifest)
{
	return manifest->cost_weight;
}

size_t skh_manifest_count_services(const skh_manifest_t *manifest)
{
	return manifest->services->len;
}

const skh_service_t *skh_manifest_service_at(const skh_manifest_t *manifest, size_t index)
{
	return &g_array_index(manifest->services, skh_service_t, index);
}

const skh_customer_t *skh_manifest_customer_at(const skh_manifest_t *manifest, size_t index)
{
	return &g_array_index(manifest->customers, skh_customer_t, index);
}

const skh_model_t *skh_manifest_model(const skh_manifest_t *manifest, const char *name)
{
	return find_item(manifest->models, name);
}

const skh_service_t *skh_manifest_service(const skh_manifest_t *manifest, const char *name)
{
	return find_item(manifest->services, name);
}

const skh_group_t *skh_manifest_group(const skh_manifest_t *manifest, const char *name)
{
	return find_item(manifest->groups, name);
}

const skh_priority_t *skh_manifest_priority(const skh_manifest_t *manifest, const char *name)
{
	return find_item(manifest->priorities, name);
}

const skh_service_t *skh_manifest_service_for_model(const skh_manifest_t *manifest,
						    const char *model)
{
	for (size_t i = 0; i < manifest->services->len; i++) {
		const skh_service_t *service = skh_manifest_service_at(manifest, i);

		if (service->kind == SKH_SERVICE_MODEL && strcmp(service->model, model) == 0)
			return service;
	}
	return NULL;
}

static size_t find_index_plus_1(GHashTable *index_by_hash, const char *api_key)
{
	g_autofree char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, api_key, -1);

	return GPOINTER_TO_SIZE(g_hash_table_lookup(index_by_hash, hash));
}

const skh_customer_t *skh_manifest_customer_by_key(const skh_manifest_t *manifest,
						   const char *api_key)
{
	size_t index_plus_1 = find_index_plus_1(manifest->customer_index_by_hash, api_key);

	return index_plus_1 ? skh_manifest_customer_at(manifest, index_plus_1 - 1) : NULL;
}

size_t skh_manifest_count_operators(const skh_manifest_t *manifest)
{
	return manifest->operators->len;
}

const skh_operator_t *skh_manifest_operator_by_key(const skh_manifest_t *manifest,
						   const char *api_key)
{
	size_t index_plus_1 = find_index_plus_1(manifest->operator_index_by_hash, api_key);

	return index_plus_1 ? &g_array_index(manifest->operators, skh_operator_t, index_plus_1 - 1)
			    : NULL;
}

static bool texts_contain(const skh_doc_node_t *texts, const char *wanted)
{
	for (size_t i = 0; texts && i < skh_doc_node_count(texts); i++) {
		if (strcmp(skh_doc_node_text(skh_doc_node_at(texts, i)), wanted) == 0)
			return true;
	}
	return false;
}

bool skh_customer_can_use(const skh_customer_t *customer, const char *service)
{
	return texts_contain(customer->services, service);
}

bool skh_service_is_idempotent(const skh_service_t *service, const char *method)
{
	if (service->kind == SKH_SERVICE_MODEL)
		return true;
	return texts_contain(service->idempotent_methods, method);
}
