#ifndef SKH_SETTINGS_H
#define SKH_SETTINGS_H

/**
 * DOC: Settings
 *
 * What one process learns from its TOML file: its identity, addresses and
 * failure domain. Everything shared comes from the manifest instead.
 */

#include "schema.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_role {
	SKH_ROLE_ENTRY,
	SKH_ROLE_SIDECAR,
	SKH_ROLE_GATEWAY,
	SKH_ROLE_BALANCER
} skh_role_t;

typedef enum skh_backend_kind {
	SKH_BACKEND_ENGINE,
	SKH_BACKEND_PLAIN
} skh_backend_kind_t;

/** struct skh_settings - texts borrowed from the file's node tree */
typedef struct skh_settings {
	/* [instance] */
	const char *id;
	const char *failure_domain;
	/* [http]: callers of an entry */
	const char *http_listen;
	int64_t http_threads;
	int64_t http_stack_kib;
	int64_t max_body_bytes;
	/* [admin] */
	const char *admin_listen;
	/* [link]: where a sidecar hears entries */
	const char *link_listen;
	int64_t window_bytes;
	/* [security]: CURVE keys of the links in Z85, NULL for none */
	const char *link_public_key;
	const char *link_secret_key;
	/* [store] */
	const skh_doc_node_t *store_endpoints;
	const char *store_prefix;
	const char *instances_prefix;
	int64_t store_timeout_ms;
	/* [backend]: what a sidecar stands beside */
	int32_t backend_kind;
	const char *backend_url;
	const char *backend_service;
	const char *backend_group;
	int64_t backend_rank;
	int64_t backend_capacity;
	int64_t backend_queue;
	/* [gateway]: an entry that reaches backend servers directly */
	const char *dialect; /* how callers, servers and the store are spoken to */
	const char *gossip_listen;
	const char *peers_prefix;
	int64_t poll_pace_ms;
	int64_t poll_wait_ms;
	int64_t key_trust_ms;  /* keys hold this long after the store was last heard */
	int64_t retry_percent; /* repeats for 100 requests, of all gateways together */
	int64_t retry_least;   /* repeats that are always allowed in a window */
	int64_t retry_window_ms;
	/* [balancer]: beside a rank whose group's experts it helps to place */
	const char *engine_address;
	int64_t skew_weight; /* what step time is worth against orders and copies */
	int64_t cost_weight;
	/* [stop] */
	int64_t drain_ms;
	/* [log] */
	int32_t log_level;
	int32_t log_format;
	int32_t log_output;
	skh_role_t role;
	char *path; /* of the file; NULL when read from elsewhere */
	skh_doc_node_t *tree;
} skh_settings_t;

/** skh_settings_parse() - read @text for @role; faults tell what is wrong */
skh_settings_t *skh_settings_parse(skh_chunk_t text, skh_role_t role,
				   skh_validation_errors_t *faults);

/** skh_settings_load() - the same from the file at @path; NULL when unreadable */
skh_settings_t *skh_settings_load(const char *path, skh_role_t role,
				  skh_validation_errors_t *faults);

void skh_settings_free(skh_settings_t *settings);

/** skh_store_endpoint() - first address of the key-value service */
const char *skh_settings_store_endpoint(const skh_settings_t *settings, size_t index);

#ifdef __cplusplus
}
#endif
#endif
