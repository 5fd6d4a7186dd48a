#ifndef SKH_MANIFEST_H
#define SKH_MANIFEST_H

/**
 * DOC: Manifest
 *
 * The operators' configuration: models, priorities, services, customers and
 * groups. It is validated wholly before it is accepted. A manifest is
 * immutable and counted by reference.
 */

#include "schema.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_KEY_HASH_CHARS 64 /* SHA-256 in hexadecimal */

typedef enum skh_service_kind {
	SKH_SERVICE_MODEL,
	SKH_SERVICE_PLAIN
} skh_service_kind_t;

typedef struct skh_model {
	const char *name;
	const char *version;
	int64_t experts_per_layer; /* in each layer */
	int64_t layers;
	uint32_t line;
} skh_model_t;

typedef struct skh_priority {
	const char *name;
	int64_t level; /* 0 is served first */
	uint32_t line;
} skh_priority_t;

typedef struct skh_service {
	const char *name;
	int32_t kind;
	const char *model; /* of a model service */
	const skh_doc_node_t *idempotent_methods;
	int64_t max_deadline_ms;
	const char *owner;
	uint32_t line;
} skh_service_t;

typedef struct skh_customer {
	const char *name;
	const skh_doc_node_t *key_sha256;
	const skh_doc_node_t *services;
	const char *priority;
	double weight;
	double rate_per_s;
	int64_t burst;
	int64_t max_in_flight;
	const char *owner;
	uint32_t line;
} skh_customer_t;

typedef struct skh_group {
	const char *name;
	const char *service;
	int64_t ranks;
	int64_t slots_per_rank;
	const skh_doc_node_t *placement; /* [ranks][slots_per_rank] expert numbers */
	uint32_t line;
} skh_group_t;

typedef enum skh_operator_role {
	SKH_OPERATOR_READER, /* sees everything, changes nothing */
	SKH_OPERATOR_TEAM,   /* changes what its team owns */
	SKH_OPERATOR_FULL    /* changes everything */
} skh_operator_role_t;

/** struct skh_operator - who may use the administration */
typedef struct skh_operator {
	const char *name;
	const skh_doc_node_t *key_sha256;
	int32_t role;
	const char *team; /* of SKH_OPERATOR_TEAM */
	uint32_t line;
} skh_operator_t;

typedef struct skh_manifest skh_manifest_t;

/** skh_manifest_from_toml() - parse and validate; NULL when there is a fault */
skh_manifest_t *skh_manifest_from_toml(skh_chunk_t text, skh_validation_errors_t *faults);

/** skh_manifest_from_tree() - the same from @tree, which is then owned */
skh_manifest_t *skh_manifest_from_tree(skh_doc_node_t *tree, skh_validation_errors_t *faults);

void skh_manifest_unref(skh_manifest_t *manifest);

const skh_doc_node_t *skh_manifest_tree(const skh_manifest_t *manifest);
const char *skh_manifest_author(const skh_manifest_t *manifest);
const char *skh_manifest_reason(const skh_manifest_t *manifest);
double skh_manifest_skew_weight(const skh_manifest_t *manifest);
double skh_manifest_cost_weight(const skh_manifest_t *manifest);

size_t skh_manifest_count_services(const skh_manifest_t *manifest);
const skh_service_t *skh_manifest_service_at(const skh_manifest_t *manifest, size_t index);
const skh_customer_t *skh_manifest_customer_at(const skh_manifest_t *manifest, size_t index);

const skh_model_t *skh_manifest_model(const skh_manifest_t *manifest, const char *name);
const skh_service_t *skh_manifest_service(const skh_manifest_t *manifest, const char *name);
const skh_group_t *skh_manifest_group(const skh_manifest_t *manifest, const char *name);
const skh_priority_t *skh_manifest_priority(const skh_manifest_t *manifest, const char *name);

/** skh_manifest_service_for_model() - first service that serves @model */
const skh_service_t *skh_manifest_service_for_model(const skh_manifest_t *manifest,
						    const char *model);

/** skh_manifest_customer_by_key() - owner of the bearer key, or NULL */
const skh_customer_t *skh_manifest_customer_by_key(const skh_manifest_t *manifest,
						   const char *bearer_key);

size_t skh_manifest_count_operators(const skh_manifest_t *manifest);

/** skh_manifest_operator_by_key() - owner of the bearer key, or NULL */
const skh_operator_t *skh_manifest_operator_by_key(const skh_manifest_t *manifest,
						   const char *bearer_key);

/** skh_customer_can_use() - whether @customer is allowed @service */
bool skh_customer_can_use(const skh_customer_t *customer, const char *service);

/** skh_service_is_idempotent() - whether @method may be run more than once */
bool skh_service_is_idempotent(const skh_service_t *service, const char *method);

#ifdef __cplusplus
}
#endif
#endif
