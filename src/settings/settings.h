#ifndef SKH_SETTINGS_H
#define SKH_SETTINGS_H

/**
 * DOC: Settings
 *
 * Settings of one process, read from its TOML file: its identity, addresses and
 * failure domain. Configuration that processes share is in the manifest. Parsed
 * settings do not change and can be read from any thread.
 */

#include "schema.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_role - role of a process */
typedef enum skh_role {
	SKH_ROLE_ENTRY,
	SKH_ROLE_SIDECAR,
	SKH_ROLE_GATEWAY,
	SKH_ROLE_BALANCER
} skh_role_t;

/** enum skh_backend_kind - type of the backend server of a sidecar */
typedef enum skh_backend_kind {
	SKH_BACKEND_ENGINE,
	SKH_BACKEND_PLAIN
} skh_backend_kind_t;

/**
 * struct skh_settings - all settings of a process, grouped by section of the file
 *
 * Texts point into @document, except for defaults, which are constants. Settings of
 * sections that the role does not have keep their defaults.
 */
typedef struct skh_settings {
	/* [instance] */
	const char *id;
	const char *failure_domain;
	const char *region; /* NULL if not stated */
	/* [regions]: the region of each failure domain; NULL if not stated */
	const skh_doc_node_t *regions;
	/* [http]: listener for callers */
	const char *http_listen;
	int64_t http_threads;
	int64_t http_stack_kib; /* stack size of a thread */
	int64_t max_body_bytes;
	/* [admin] */
	const char *admin_listen;
	/* [link]: listener of a sidecar for connections from entries */
	const char *link_listen;
	int64_t window_bytes; /* response bytes that a sidecar sends before the entry grants more */
	/* [security]: CURVE keys of the links in Z85; NULL for unencrypted links */
	const char *link_public_key;
	const char *link_secret_key;
	/* [store] */
	const skh_doc_node_t *store_endpoints;
	const char *store_prefix;
	const char *instances_prefix;
	int64_t store_timeout_ms;
	/* [backend]: backend server of a sidecar */
	int32_t backend_kind; /* skh_backend_kind_t */
	const char *backend_url;
	const char *backend_service; /* also "service" of [balancer] */
	const char *backend_group;
	int64_t backend_rank;
	int64_t backend_capacity; /* maximum number of concurrent attempts */
	int64_t backend_queue;	  /* maximum number of queued attempts */
	/* [gateway]: process that sends requests directly to backend servers, without sidecars */
	const char *dialect;	   /* protocol variant for callers, servers and the store */
	const char *gossip_listen; /* also "listen" of [balancer] */
	const char *gateways_prefix;
	int64_t poll_interval_ms; /* interval between two polls of the store */
	int64_t poll_timeout_ms;  /* time after which a poll without changes returns */
	int64_t key_trust_ms; /* keys stay valid this long after the last store response; 0: not set */
	int64_t retry_percent; /* retries per 100 requests, for all gateways together */
	int64_t min_retries;   /* retries always allowed in a window, for all gateways together */
	int64_t retry_window_ms;
	/*
	 * [bounds]: limits that the platform states; they replace @retry_percent, @min_retries,
	 * @retry_window_ms and @drain_ms, too. An unusable value is a warning, not an error.
	 */
	int64_t config_apply_ms; /* configurations must be in force within this time; 0: not stated */
	int64_t drain_notice_ms; /* leaving servers must get no requests after it; 0: not stated */
	int64_t revocation_ms; /* revoked keys must be rejected within this time; 0 if not stated */
	/* [limits]: what the platform gives the instance; read like [bounds] */
	int64_t memory_mb; /* units of 10^6 bytes; 0 if not stated */
	/* domains out of service must get no requests after it; 0 if not stated */
	int64_t domain_out_ms;
	int64_t cold_overage_percent; /* see skh_warmth_spec.overage */
	int64_t cold_slack;	      /* see skh_warmth_spec.slack */
	/*
	 * [balancer]: runs beside a rank and takes part in placing its group's experts.
	 * The weights are those of the objective that rebalance.h minimizes.
	 */
	const char *engine_address;
	int64_t skew_weight; /* weight of skew in the objective */
	int64_t cost_weight; /* weight of copies in the objective */
	/* [stop] */
	int64_t drain_ms; /* time that requests in flight get after a stop signal */
	/* [log] */
	int32_t log_level;  /* skh_log_level_t */
	int32_t log_format; /* 0: text, 1: JSON */
	int32_t log_output; /* 0: standard error, 1: standard output */
	skh_role_t role;
	skh_validation_errors_t *warnings; /* see [bounds] and [limits] */
	char *path;			   /* path of the file; NULL when parsed from memory */
	skh_doc_node_t *document;
} skh_settings_t;

/**
 * skh_settings_parse() - parse and validate settings
 * @text: TOML document
 * @role: role of the process, which determines the sections
 * @errors: receives each error found; without errors, the result is valid
 *
 * Return: settings to be freed with skh_settings_free(), also when there are errors.
 */
skh_settings_t *skh_settings_parse(skh_chunk_t text, skh_role_t role,
				   skh_validation_errors_t *errors);

/**
 * skh_settings_load() - read, parse and validate a settings file
 * @path: path of the file; copied
 * @role: role of the process, which determines the sections
 * @errors: receives each error found; without errors, the result is valid
 *
 * Return: settings to be freed with skh_settings_free(), also when there are
 * errors; NULL when the file cannot be read.
 */
skh_settings_t *skh_settings_load(const char *path, skh_role_t role,
				  skh_validation_errors_t *errors);

/** skh_settings_free() - free @settings; NULL is allowed */
void skh_settings_free(skh_settings_t *settings);

/**
 * skh_settings_key_trust_ms() - how long keys stay valid after the last response of the store
 *
 * As long as the platform's bound on revocations allows, or less if the setting says so.
 */
int64_t skh_settings_key_trust_ms(const skh_settings_t *settings);

/**
 * skh_settings_poll_interval_ms() - interval between two polls of the store
 *
 * The setting, or as long as the platform's bounds for changes allow.
 */
int64_t skh_settings_poll_interval_ms(const skh_settings_t *settings);

/**
 * skh_settings_new_regions() - the regions of the failure domains
 * Return: table from domain to region, to be freed with g_hash_table_unref(); empty unless at least
 *	two regions are named, since one region restricts nothing.
 */
GHashTable *skh_settings_new_regions(const skh_settings_t *settings);

/** skh_settings_log_warnings() - log each value of [bounds] and [limits] that is not used */
void skh_settings_log_warnings(const skh_settings_t *settings);

/**
 * skh_settings_store_endpoint() - address of an endpoint of the store
 * @settings: valid settings
 * @index: index of the endpoint, taken modulo the number of endpoints
 *
 * Return: an address that is valid as long as @settings.
 */
const char *skh_settings_store_endpoint(const skh_settings_t *settings, size_t index);

#ifdef __cplusplus
}
#endif
#endif
