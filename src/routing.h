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

/** enum skh_repeat - whether a request may run more than once */
typedef enum skh_repeat {
	SKH_REPEAT_NEVER,
	SKH_REPEAT_FREELY,
	SKH_REPEAT_FROM_EVENT /* a stream that goes on after the last event delivered */
} skh_repeat_t;

/** struct skh_split - a share of a route's requests; @service is an index */
typedef struct skh_split {
	uint32_t service;
	uint32_t weight;
} skh_split_t;

/** struct skh_route - requests of one host whose path begins with @prefix */
typedef struct skh_route {
	char *name;
	char *host;
	char *prefix;
	skh_repeat_t repeat;
	bool streams;
	bool needs_key;
	int64_t timeout_us;  /* longest time a caller is kept waiting */
	int64_t goal_us;     /* latency objective; of a stream up to its first event */
	int64_t gap_goal_us; /* longest pause between two events */
	uint32_t max_attempts;
	uint32_t priority; /* 0 is served first */
	uint32_t n_splits;
	skh_split_t splits[SKH_ROUTING_MAX_SPLITS];
} skh_route_t;

/** struct skh_engine_shape - how the engines of a model service work */
typedef struct skh_engine_shape {
	uint32_t slots;	     /* requests that a rank works on at a time */
	uint32_t sets;	     /* of layers, each with experts of its own */
	uint32_t experts;    /* in each set */
	uint32_t placements; /* experts that a rank holds of a set, at the most */
	uint32_t spare;	     /* experts of a set that one switch may bring to a rank */
	double expert_share; /* part of a step that experts take */
	double expert_mb;
	double link_mbps;
	double step_ms;	       /* of a step without requests */
	double step_ms_each;   /* and for each request that writes */
	uint32_t steps_a_pass; /* all ranks of a group begin a pass together */
} skh_engine_shape_t;

/** struct skh_service_info - one service of backend servers */
typedef struct skh_service_info {
	char *name;
	char *health_path;
	uint32_t max_connections;
	bool has_engine;
	skh_engine_shape_t engine;
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

/** skh_routing_service() - index of the service called @name, or -1 */
int32_t skh_routing_service(const skh_routing_t *routing, const char *name);
const skh_service_info_t *skh_routing_service_at(const skh_routing_t *routing, uint32_t index);

/**
 * skh_routing_find() - the route of a request
 * @host: the Host header; a port and the case do not matter
 * @target: path and query
 */
const skh_route_t *skh_routing_find(const skh_routing_t *routing, const char *host,
				    const char *target);

/** skh_routing_split() - the service that @draw, 0 to 1, falls on */
uint32_t skh_routing_split(const skh_route_t *route, double draw);

/** skh_routing_owner() - holder of the key in "@scheme KEY", or NULL */
const skh_key_owner_t *skh_routing_owner(const skh_routing_t *routing, const char *scheme,
					 const char *authorization);

#ifdef __cplusplus
}
#endif
#endif
