#ifndef SKH_ROUTING_H
#define SKH_ROUTING_H

/**
 * DOC: Routing table
 *
 * The gateways' routing configuration: routes, services with their engine
 * parameters, retry rules, timeouts, limits and API keys. Gateways read it in
 * place of a manifest (manifest.h). A configuration parser fills a table once and
 * calls skh_routing_seal(); a sealed table is immutable and any thread may read
 * it. The suffix of a name gives its unit.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_ROUTING_MAX_SPLITS 8

/** enum skh_retry_mode - whether a request that may have run is retried */
typedef enum skh_retry_mode {
	SKH_RETRY_MODE_NEVER,
	SKH_RETRY_MODE_ALLOWED,
	SKH_RETRY_MODE_RESUME_STREAM /* retry a stream, resuming after its last delivered event */
} skh_retry_mode_t;

/**
 * struct skh_traffic_split - one weighted service of a route
 * @service: index into skh_routing_t.services
 * @weight: share of the requests, relative to the sum of the route's weights
 */
typedef struct skh_traffic_split {
	uint32_t service;
	uint32_t weight;
} skh_traffic_split_t;

/** struct skh_route - rules for the requests to @host whose path begins with @path_prefix */
typedef struct skh_route {
	char *name;
	char *host;
	char *path_prefix;
	skh_retry_mode_t retry_mode;
	bool is_streaming;
	bool needs_key;
	int64_t timeout_us;	    /* from the receipt of a request to its deadline */
	int64_t objective_us;	    /* latency objective; for a stream, until its first event */
	int64_t gap_objective_us;   /* objective for the time between two stream events */
	uint32_t max_runs;	    /* limit of the attempts that may have run the request */
	uint32_t priority;	    /* 0 is the highest */
	GPtrArray *allowed_regions; /* names; NULL if requests may be served in any region */
	uint32_t n_splits;
	skh_traffic_split_t splits[SKH_ROUTING_MAX_SPLITS];
} skh_route_t;

/** struct skh_engine_spec - size and cost parameters of a model service's engines */
typedef struct skh_engine_spec {
	uint32_t request_slots;	    /* requests that a rank runs concurrently */
	uint32_t expert_sets;	    /* sets of layers; each set has its own experts */
	uint32_t experts_per_set;   /* number of experts in each set */
	uint32_t slots_per_rank;    /* slots for experts of one set at a rank */
	uint32_t max_new_experts;   /* max new experts of one set copied to a rank per map change */
	double expert_time_ratio;   /* fraction of a step's duration spent in experts */
	double expert_size_mb;	    /* size of one expert's weights, in megabytes */
	double link_mbps;	    /* bandwidth for copying experts to a rank, in Mbit/s */
	double step_ms;		    /* duration of a step without requests */
	double step_ms_per_request; /* added duration of a step per generating request */
	double cache_tokens;	    /* tokens that fit into a rank's KV cache; 0 if not limited */
	uint32_t steps_per_pass;    /* steps in a pass, which all ranks of a group begin together */
} skh_engine_spec_t;

/** struct skh_service_info - one service provided by a set of backend servers */
typedef struct skh_service_info {
	char *name;
	char *health_path;
	uint32_t max_connections;
	int64_t cold_start_us; /* how long a server is cold after a start; 0: never */
	double cold_per_s;     /* requests a second that a cold server takes from all gateways */
	bool has_engine_spec;
	skh_engine_spec_t engine_spec;
} skh_service_info_t;

/** struct skh_key_owner - the customer that an API key belongs to */
typedef struct skh_key_owner {
	char *customer;
	bool has_priority;
	uint32_t priority;
	GPtrArray *allowed_regions; /* names; NULL if requests may be served in any region */
} skh_key_owner_t;

/** struct skh_caller_limits - size limits and timeouts for requests from callers */
typedef struct skh_caller_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_us; /* 0 for the default */
	int64_t idle_timeout_us;   /* 0 for the default */
} skh_caller_limits_t;

/** struct skh_routing - the routing table; owns its arrays, tables and texts */
typedef struct skh_routing {
	int64_t version;  /* version that the operators assigned to the configuration */
	int64_t revision; /* mod revision of the configuration in the key-value service */
	skh_caller_limits_t limits;
	GArray *services;    /* skh_service_info_t */
	GArray *routes;	     /* skh_route_t */
	GPtrArray *warnings; /* a text for each value that is not used as it is written */
	GHashTable *keys;    /* key -> skh_key_owner_t; NULL when no key is required */
	GHashTable *
		routes_by_host; /* lower-case host -> GPtrArray of skh_route_t *, longest prefix first */
} skh_routing_t;

/**
 * struct skh_homes - the regions in which a request may be served; both lists apply
 *
 * Each is an allowed_regions of a route or a customer, borrowed; NULL for any region.
 */
typedef struct skh_homes {
	const GPtrArray *route;
	const GPtrArray *customer;
} skh_homes_t;

/**
 * skh_homes_allow() - whether a request may be served in @region
 * @homes: NULL for any region
 * @region: NULL if unknown, which is allowed only if any region is
 */
bool skh_homes_allow(const skh_homes_t *homes, const char *region);

/** skh_routing_new() - allocate an empty table; free it with skh_routing_free() */
skh_routing_t *skh_routing_new(void);

/** skh_routing_free() - free @routing and everything it owns; NULL is ignored */
void skh_routing_free(skh_routing_t *routing);

/** skh_routing_clear() - free everything @routing owns, but not @routing itself */
void skh_routing_clear(skh_routing_t *routing);

/**
 * skh_routing_seal() - index the routes by host
 *
 * Call it once, after the last route is added: the index points into @routing->routes, which
 * moves when it grows.
 */
void skh_routing_seal(skh_routing_t *routing);

/**
 * skh_routing_find_service() - look up a service by name
 * Return: index of the service, or -1 when there is none called @name.
 */
int32_t skh_routing_find_service(const skh_routing_t *routing, const char *name);

/** skh_routing_get_service() - the service at @index, which must be valid; owned by @routing */
const skh_service_info_t *skh_routing_get_service(const skh_routing_t *routing, uint32_t index);

/**
 * skh_routing_find_route() - find the route with the longest matching path prefix
 * @host: Host header; the port and the letter case are ignored
 * @request_target: only the path before '?' or '#' is matched
 * Return: the route, owned by @routing, or NULL when none matches.
 */
const skh_route_t *skh_routing_find_route(const skh_routing_t *routing, const char *host,
					  const char *request_target);

/**
 * skh_routing_select_service() - select a service in proportion to the split weights
 * @random_fraction: random number in [0, 1)
 * Return: index of the service.
 */
uint32_t skh_routing_select_service(const skh_route_t *route, double random_fraction);

/**
 * skh_routing_find_key_owner() - look up the customer of an API key
 * @routing: table whose keys are not NULL
 * @scheme: authentication scheme, compared without letter case
 * @authorization: Authorization header "SCHEME KEY"; NULL when absent
 * Return: the owner, owned by @routing, or NULL when the scheme differs or the key is unknown.
 */
const skh_key_owner_t *skh_routing_find_key_owner(const skh_routing_t *routing, const char *scheme,
						  const char *authorization);

#ifdef __cplusplus
}
#endif
#endif
