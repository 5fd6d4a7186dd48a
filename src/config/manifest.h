#ifndef SKH_MANIFEST_H
#define SKH_MANIFEST_H

/**
 * DOC: Manifest
 *
 * The operators' configuration: models, priorities, services, customers, groups
 * and operators. Gateways have no manifest; they use the routing table of
 * routing.h. A manifest exists only if all of it is valid. It is immutable
 * and reference-counted, so any thread may read it. All texts and structs that
 * the functions return are borrowed from the manifest.
 */

#include "schema.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_KEY_HASH_CHARS 64 /* SHA-256 in hexadecimal */

/** enum skh_service_kind - kind of the backend servers of a service */
typedef enum skh_service_kind {
	SKH_SERVICE_MODEL, /* model servers; every method is idempotent */
	SKH_SERVICE_PLAIN  /* HTTP servers; only the listed methods are idempotent */
} skh_service_kind_t;

/** struct skh_model - model that model services serve */
typedef struct skh_model {
	const char *name;
	const char *version;
	int64_t experts_per_layer;
	int64_t layers;
	uint32_t line;
} skh_model_t;

/** struct skh_priority - priority level that customers refer to by name */
typedef struct skh_priority {
	const char *name;
	int64_t level; /* 0 is the highest priority and served first */
	uint32_t line;
} skh_priority_t;

/** struct skh_service - service that customers send requests to */
typedef struct skh_service {
	const char *name;
	int32_t kind;				  /* skh_service_kind_t */
	const char *model;			  /* name of the model; "" for a plain service */
	const skh_doc_node_t *idempotent_methods; /* array of HTTP methods */
	int64_t max_deadline_ms;
	const char *owner; /* team that may change the item; "" for none */
	uint32_t line;
} skh_service_t;

/** struct skh_customer - customer, its API keys and its limits */
typedef struct skh_customer {
	const char *name;
	const skh_doc_node_t *key_sha256; /* array of hashes of API keys, hexadecimal */
	const skh_doc_node_t *services;	  /* array of names of the services that may be used */
	const char *priority;		  /* name of the priority */
	double weight;			  /* relative share in the fair queue */
	double rate_per_s;		  /* requests per second, over all entries */
	int64_t burst;			  /* requests, over all entries */
	int64_t max_in_flight;		  /* requests, over all entries */
	const char *owner;		  /* team that may change the item; "" for none */
	uint32_t line;
} skh_customer_t;

/** struct skh_group - group of ranks that serve a model service, with its expert placement */
typedef struct skh_group {
	const char *name;
	const char *service;
	int64_t ranks;
	int64_t slots_per_rank;
	const skh_doc_node_t *placement; /* per rank, up to slots_per_rank expert numbers */
	uint32_t line;
} skh_group_t;

/** enum skh_operator_role - what an operator may do */
typedef enum skh_operator_role {
	SKH_OPERATOR_READER, /* may read everything and change nothing */
	SKH_OPERATOR_TEAM,   /* may also change what its team owns */
	SKH_OPERATOR_FULL    /* may change everything */
} skh_operator_role_t;

/** struct skh_operator - user of the administration API */
typedef struct skh_operator {
	const char *name;
	const skh_doc_node_t *key_sha256; /* array of hashes of API keys, hexadecimal */
	int32_t role;			  /* skh_operator_role_t */
	const char *team;		  /* team of an SKH_OPERATOR_TEAM; "" for other roles */
	uint32_t line;
} skh_operator_t;

typedef struct skh_manifest skh_manifest_t;

/**
 * skh_manifest_from_toml() - parse and validate a manifest
 * @text: manifest in TOML
 * @errors: receives the validation errors
 *
 * Return: a manifest with one reference, or NULL when there is an error.
 */
skh_manifest_t *skh_manifest_from_toml(skh_chunk_t text, skh_validation_errors_t *errors);

/**
 * skh_manifest_from_tree() - validate a manifest
 * @tree: parsed manifest; the function takes ownership, also on failure
 * @errors: receives the validation errors
 *
 * Return: a manifest with one reference, or NULL when there is an error.
 */
skh_manifest_t *skh_manifest_from_tree(skh_doc_node_t *tree, skh_validation_errors_t *errors);

/** skh_manifest_unref() - drop a reference and free @manifest with the last; NULL is allowed */
void skh_manifest_unref(skh_manifest_t *manifest);

/** skh_manifest_tree() - parsed document of the manifest */
const skh_doc_node_t *skh_manifest_tree(const skh_manifest_t *manifest);

/** skh_manifest_author() - author of the change, from the "change" table */
const char *skh_manifest_author(const skh_manifest_t *manifest);

/** skh_manifest_reason() - reason of the change, from the "change" table */
const char *skh_manifest_reason(const skh_manifest_t *manifest);

/** skh_manifest_skew_weight() - value of balance.skew_weight, the weight of skew */
double skh_manifest_skew_weight(const skh_manifest_t *manifest);

/** skh_manifest_cost_weight() - value of balance.cost_weight, the weight of copies */
double skh_manifest_cost_weight(const skh_manifest_t *manifest);

/** skh_manifest_count_services() - number of services */
size_t skh_manifest_count_services(const skh_manifest_t *manifest);

/** skh_manifest_service_at() - service number @index; must be below the number of services */
const skh_service_t *skh_manifest_service_at(const skh_manifest_t *manifest, size_t index);

/** skh_manifest_customer_at() - customer number @index; must be below the number of customers */
const skh_customer_t *skh_manifest_customer_at(const skh_manifest_t *manifest, size_t index);

/** skh_manifest_model() - model called @name, or NULL */
const skh_model_t *skh_manifest_model(const skh_manifest_t *manifest, const char *name);

/** skh_manifest_service() - service called @name, or NULL */
const skh_service_t *skh_manifest_service(const skh_manifest_t *manifest, const char *name);

/** skh_manifest_group() - group called @name, or NULL */
const skh_group_t *skh_manifest_group(const skh_manifest_t *manifest, const char *name);

/** skh_manifest_priority() - priority called @name, or NULL */
const skh_priority_t *skh_manifest_priority(const skh_manifest_t *manifest, const char *name);

/** skh_manifest_service_for_model() - first service that serves @model, or NULL */
const skh_service_t *skh_manifest_service_for_model(const skh_manifest_t *manifest,
						    const char *model);

/** skh_manifest_customer_by_key() - customer that owns @api_key, or NULL */
const skh_customer_t *skh_manifest_customer_by_key(const skh_manifest_t *manifest,
						   const char *api_key);

/** skh_manifest_count_operators() - number of operators; with 0, every action is allowed */
size_t skh_manifest_count_operators(const skh_manifest_t *manifest);

/** skh_manifest_operator_by_key() - operator that owns @api_key, or NULL */
const skh_operator_t *skh_manifest_operator_by_key(const skh_manifest_t *manifest,
						   const char *api_key);

/** skh_customer_can_use() - whether @customer may send requests to @service */
bool skh_customer_can_use(const skh_customer_t *customer, const char *service);

/** skh_service_is_idempotent() - whether a request with @method may run more than once */
bool skh_service_is_idempotent(const skh_service_t *service, const char *method);

#ifdef __cplusplus
}
#endif
#endif
