#ifndef SKH_ROUTING_H
#define SKH_ROUTING_H

/**
 * DOC: Routing table
 *
 * What a gateway needs of the operators' configuration: which requests go to
 * which service, what may be repeated, how long a caller may be kept waiting,
 * and whose keys are valid. Filled once by a reader of the configuration's
 * format, then sealed and immutable.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_ROUTING_MAX_SPLITS 8

/** enum skh_retry_mode - whether a request may run more than once */
typedef enum skh_retry_mode {
	SKH_RETRY_MODE_NEVER,
	SKH_RETRY_MODE_ALLOWED,
	SKH_RETRY_MODE_RESUME_STREAM /* a stream that goes on after the last event delivered */
} skh_retry_mode_t;

/** struct skh_traffic_split - a share of a route's requests; @service is an index */
typedef struct skh_traffic_split {
	uint32_t service;
	uint32_t weight;
} skh_traffic_split_t;

/** struct skh_route - requests of one host whose path begins with @prefix */
typedef struct skh_route {
	char *name;
	char *host;
	char *prefix;
	skh_retry_mode_t retry_mode;
	bool is_streaming;
	bool needs_key;
	int64_t timeout_us;	  /* longest time a caller is kept waiting */
	int64_t objective_us;	  /* latency objective; of a stream up to its first event */
	int64_t gap_objective_us; /* longest pause between two events */
	uint32_t max_attempts;
	uint32_t priority; /* 0 is served first */
	uint32_t n_splits;
	skh_traffic_split_t splits[SKH_ROUTING_MAX_SPLITS];
} skh_route_t;

/** struct skh_engine_spec - how the engines of a model service work */
typedef struct skh_engine_spec {
	uint32_t slots;		  /* requests that a rank works on at a time */
	uint32_t expert_sets;	  /* of layers, each with experts of its own */
	uint32_t experts_per_set; /* in each set */
	uint32_t expert_slots;	  /* experts that a rank holds of a set, at the most */
	uint32_t spare_slots;	  /* experts of a set that one switch may bring to a rank */
	double expert_share;	  /* part of a step that experts take */
	double expert_mb;
	double link_mbps;
	double step_ms;		    /* of a step without requests */
	double step_ms_per_request; /* and for each request that writes */
	uint32_t steps_per_pass;    /* all ranks of a group begin a pass together */
} skh_engine_spec_t;

/** struct skh_service_info - one service of backend servers */
typedef struct skh_service_info {
	char *name;
	char *health_path;
	uint32_t max_connections;
	bool has_engine;
	skh_engine_spec_t engine;
} skh_service_info_t;

/** struct skh_key_owner - the customer that holds a key */
typedef struct skh_key_owner {
	char *customer;
	bool has_priority;
	uint32_t priority;
} skh_key_owner_t;

/** struct skh_caller_limits - what a caller may send, and how slowly */
typedef struct skh_caller_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
} skh_caller_limits_t;

typedef struct skh_routing {
	int64_t version;  /* the operators' number */
	int64_t revision; /* the store's */
	skh_caller_limits_t limits;
	GArray *services;  /* skh_service_info_t */
	GArray *routes;	   /* skh_route_t */
	GHashTable *keys;  /* key -> skh_key_owner_t; NULL where no key is asked for */
	GHashTable *hosts; /* host -> GPtrArray of skh_route_t, longest prefix first */
} skh_routing_t;

skh_routing_t *skh_routing_new(void);
void skh_routing_free(skh_routing_t *routing);

/** skh_routing_clear() - free what @routing owns, not @routing itself */
void skh_routing_clear(skh_routing_t *routing);

/** skh_routing_seal() - index the routes; nothing is added afterwards */
void skh_routing_seal(skh_routing_t *routing);

/** skh_routing_find_service() - index of the service called @name, or -1 */
int32_t skh_routing_find_service(const skh_routing_t *routing, const char *name);
const skh_service_info_t *skh_routing_get_service(const skh_routing_t *routing, uint32_t index);

/**
 * skh_routing_find_route() - the route of a request
 * @host: the Host header; a port and the case do not matter
 * @target: path and query
 */
const skh_route_t *skh_routing_find_route(const skh_routing_t *routing, const char *host,
					  const char *target);

/** skh_routing_select_service() - the service that @draw, 0 to 1, falls on */
uint32_t skh_routing_select_service(const skh_route_t *route, double draw);

/** skh_routing_find_key_owner() - holder of the key in "@scheme KEY", or NULL */
const skh_key_owner_t *skh_routing_find_key_owner(const skh_routing_t *routing, const char *scheme,
						  const char *authorization);

#ifdef __cplusplus
}
#endif
#endif
