#ifndef SKH_BACKENDS_H
#define SKH_BACKENDS_H

/**
 * DOC: Backend servers as a gateway sees them
 *
 * Owns the gateway's state of each backend server in the roster (connections,
 * requests in flight, latency, failures) and of each service (request queue,
 * retry share, completion rate). All functions run on the gateway's event loop
 * thread. Times are microseconds of the boot clock.
 */

#include "domain_status.h"
#include "load_control.h"
#include "request_queue.h"
#include "retry_share.h"
#include "roster.h"
#include "routing.h"
#include "server_limit.h"
#include "server_selection.h"
#include "server_warmth.h"
#include "target_group.h"
#include "upstream.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_target skh_target_t;
typedef struct skh_target_pool skh_target_pool_t;

/**
 * struct skh_target - a gateway's state of one backend server; counted by reference
 *
 * The set of listed servers holds one reference and each request in flight another,
 * so a target stays valid after its server has left the roster.
 */
struct skh_target {
	skh_server_t *server;
	skh_target_pool_t *target_pool;
	skh_upstream_pool_t *upstream_pool;
	uint32_t references;
	uint32_t own_in_flight;	  /* requests of this gateway in flight at the server */
	uint32_t own_streaming;	  /* requests in flight whose response has begun */
	uint32_t own_paused;	  /* streams among them that are not read, as callers are slow */
	int64_t busy_since_us;	  /* time since which requests have been in flight */
	int64_t last_received_us; /* time of the last response bytes */
	double expected_tokens;	  /* expected tokens of the requests in flight */
	double cache_tokens;	  /* tokens of the requests in flight, complete */
	uint32_t peers_running;	  /* requests of the other gateways, by their reports */
	uint32_t stated_others;	  /* the same by the server's last statement of its load */
	int64_t stated_us;	  /* time of that statement; 0 for none */
	double mean_latency_ms;
	double slowdown; /* slowdown of a rank, as its coordinator reports; 1 is normal */
	double failure_ratio;
	uint32_t consecutive_failures;
	int64_t avoid_until_us;
	int64_t full_until_us;
	skh_server_limit_t limit;
	int64_t rejects_until_us; /* the server wants no requests of this gateway until then */
	int64_t wrong_instance_until_us; /* another instance responded at the address */
	/* Of servers of lock-step services, see pool_groups.h: */
	skh_target_group_t *group;	/* owned by the pool; NULL while the server stands alone */
	skh_target_group_t *last_group; /* the last one that was not NULL, or NULL */
	int64_t group_epoch;		/* of the notice that named the server last */
	uint64_t group_arrival;		/* arrival number of that notice */
	int64_t listed_us;		/* when the server was listed */
	uint64_t listed_arrival; /* arrival number of the last notice when the server was listed */
	const char *region;	 /* interned; NULL if unknown */
	skh_server_warmth_t warmth;
	bool is_listed;		    /* the server is in the roster */
	bool is_in_other_domain;    /* its failure domain is not the gateway's */
	bool has_losses;	    /* requests were lost there since its last response */
	bool has_announced_leaving; /* said so in a response, maybe before the roster does */
	bool is_superseded; /* a server of a configured service that started later is at the address */
	bool has_served;    /* has responded since it was listed or last rejected a request */
	bool is_domain_out; /* its failure domain is out of service */
	bool was_cold;	    /* at the last update */
};

#define SKH_TARGET_POOL_RATE_SLOTS 8

/** struct skh_target_pool - one service: its backend servers and its queued requests */
struct skh_target_pool {
	char *service;
	GPtrArray *targets; /* skh_target_t of listed servers by id, not owned */
	skh_request_queue_t *queue;
	skh_retry_share_t retry_share;
	bool is_configured; /* the routing table in force names the service */
	bool is_lock_step;
	GPtrArray *groups;	      /* skh_target_group_t of a lock-step service, owned */
	skh_target_group_t *unproven; /* covers servers that stand alone and have not served */
	GHashTable *former_members;   /* address -> what the last instance there was named by */
	uint64_t notice_arrivals;     /* members notices so far */
	double step_ms;		      /* costs of the service's engine, see routing.h */
	double step_ms_per_request;
	double expert_time_ratio;
	uint32_t steps_per_pass;
	uint32_t rank_slots;	 /* request slots of a rank; 0 if unknown */
	skh_load_control_t load; /* forecasts, returns and pace, see pool_load.h */
	bool is_blocked;	 /* the last attempt to send found no room */
	uint32_t max_connections;
	skh_warmth_spec_t warmth_spec; /* bound of its cold servers */
	const skh_homes_t *homes;      /* of the request being placed; NULL: any region */
	double logged_share;	       /* share of the capacity in the last log line about it */
	double cache_capacity;	  /* tokens that fit into a server's KV cache; 0 if not limited */
	double next_cache_tokens; /* of the request that the next selection is for, complete */
	/* Id of the first event of its streams, as servers number them; -1 until it is known. */
	int64_t first_event_id;
	int64_t typical_first_event_ms; /* time to the first event or the complete response */
	double completed[SKH_TARGET_POOL_RATE_SLOTS]; /* successful requests by time slot */
	int64_t newest_slot;			      /* newest time slot in @completed */
};

typedef struct skh_backends skh_backends_t;

/** skh_backends_new() - returns an empty set of servers; @loop and @options are borrowed */
skh_backends_t *skh_backends_new(uv_loop_t *loop, const skh_upstream_pool_options_t *options);
void skh_backends_free(skh_backends_t *backends);

typedef void (*skh_server_lost_fn)(void *context, const skh_server_t *server);

/**
 * skh_backends_set_lost_fn() - set the callback for servers that disappear without leaving
 * @fn: called when a server instance is no longer listed, or is replaced by a newer one at its
 *	address, and had not announced that it leaves
 * @context: first argument of @fn
 */
void skh_backends_set_lost_fn(skh_backends_t *backends, skh_server_lost_fn fn, void *context);

/**
 * skh_backends_sync() - applies the roster to the servers and the routing table to the services
 * @roster: listed servers; NULL leaves the servers as they are
 * @routing: routing table; NULL leaves the services as they are
 *
 * Servers that are no longer listed get no new requests. Of several servers at an address the one that
 * started last is used; entries of services that the routing table does not name don't count.
 */
void skh_backends_sync(skh_backends_t *backends, const skh_roster_t *roster,
		       const skh_routing_t *routing);

/**
 * skh_backends_set_failure_domain() - sets the gateway's failure domain; before the first server
 *
 * Of equally loaded servers those of this domain are preferred.
 */
void skh_backends_set_failure_domain(skh_backends_t *backends, const char *failure_domain);

/** skh_backends_get_or_create_pool() - returns the pool of service @name, creates it if missing */
skh_target_pool_t *skh_backends_get_or_create_pool(skh_backends_t *backends, const char *name);
/** skh_backends_find_target() - returns the listed server called @id, or NULL; borrowed */
skh_target_t *skh_backends_find_target(skh_backends_t *backends, const char *id);

typedef void (*skh_target_pool_fn)(skh_target_pool_t *pool, void *context);
typedef void (*skh_target_fn)(skh_target_t *target, void *context);
void skh_backends_for_each_pool(skh_backends_t *backends, skh_target_pool_fn fn, void *context);
void skh_backends_for_each_target(skh_backends_t *backends, skh_target_fn fn, void *context);

/**
 * skh_target_pool_select() - selects the server for a request
 * @excluded_targets: skh_target_t of servers that must not be selected, or NULL
 * @share: servers that this gateway prefers
 * Return: a borrowed target; NULL when all servers are full or excluded.
 */
skh_target_t *skh_target_pool_select(skh_target_pool_t *pool, const GPtrArray *excluded_targets,
				     skh_server_share_t share, int64_t now_us);

/**
 * skh_backends_set_slowdowns() - sets the slowdown of all servers, also of those listed later
 * @text: one line "address slowdown" per slow rank; all other servers get 1
 */
void skh_backends_set_slowdowns(skh_backends_t *backends, const char *text);

/**
 * skh_target_pool_select_probe() - selects a server of an unhealthy group while another is ready
 *
 * For a request that stays in time if the probe fails. Arguments as in skh_target_pool_select().
 *
 * Return: a borrowed target; NULL when no such probe is due.
 */
skh_target_t *skh_target_pool_select_probe(skh_target_pool_t *pool,
					   const GPtrArray *excluded_targets,
					   skh_server_share_t share, int64_t now_us);

/**
 * skh_backends_set_members() - applies the members notice of a group
 * @text: see members_notice.h; if it is unreadable, the last members stay
 * @revision: store revision of the notice
 */
void skh_backends_set_members(skh_backends_t *backends, const char *service, const char *group,
			      const char *text, int64_t revision);

/** skh_target_is_retired() - true for a server that gets no new requests as it leaves or has a successor */
bool skh_target_is_retired(const skh_target_t *target);

/** skh_target_pool_is_tripped() - true while all servers are covered by tripped breakers */
bool skh_target_pool_is_tripped(const skh_target_pool_t *pool, int64_t now_us);

/** skh_target_pool_is_down() - true while all servers are in groups that are down */
bool skh_target_pool_is_down(const skh_target_pool_t *pool, int64_t now_us);

/** skh_target_is_guarded() - true when a request to the server is a probe of its group */
bool skh_target_is_guarded(const skh_target_t *target, int64_t now_us);

/*
 * What attempts tell about the group of a server; see target_group.h. The rejection's result is
 * whether the group's breaker was tripped already.
 */
void skh_target_record_send(skh_target_t *target, int64_t now_us);
void skh_target_record_response(skh_target_t *target);
bool skh_target_record_rejection(skh_target_t *target, int64_t now_us);
void skh_target_record_failure(skh_target_t *target, bool is_lost, int64_t now_us);

/**
 * skh_backends_set_domains() - sets which failure domains are out of service
 * @status: borrowed; also used for servers that are listed later
 *
 * To be called after each change of @status. Their servers get no new requests.
 */
void skh_backends_set_domains(skh_backends_t *backends, const skh_domain_status_t *status);

/**
 * skh_backends_set_regions() - sets the regions of the failure domains
 * @regions: table from domain to region; ownership passes. Empty: homes are not checked
 */
void skh_backends_set_regions(skh_backends_t *backends, GHashTable *regions);

/** skh_backends_has_regions() - true when requests may be restricted to regions */
bool skh_backends_has_regions(const skh_backends_t *backends);

/**
 * skh_target_pool_set_homes() - sets where the request that is placed next may be served
 * @homes: borrowed until the next call; NULL for any region
 */
void skh_target_pool_set_homes(skh_target_pool_t *pool, const skh_homes_t *homes);

/** enum skh_home_state - what the regions of a request have for it */
typedef enum skh_home_state {
	SKH_HOME_SERVED,	 /* a server that is in service, maybe full */
	SKH_HOME_OUT_OF_SERVICE, /* only servers of domains out of service */
	SKH_HOME_NO_SERVER	 /* no server */
} skh_home_state_t;

/** skh_target_pool_find_home() - what the pool has for a request with @homes; NULL: any region */
skh_home_state_t skh_target_pool_find_home(const skh_target_pool_t *pool, const skh_homes_t *homes);

/**
 * skh_backends_set_cold_bounds() - sets what a cold server may get beyond its rate
 * @overage: factor, see struct skh_warmth_spec
 * @slack: requests
 */
void skh_backends_set_cold_bounds(skh_backends_t *backends, double overage, double slack);

/** skh_target_update_warmth() - compute this gateway's part of a cold server's requests */
void skh_target_update_warmth(skh_target_t *target, uint64_t gateway,
			      const skh_gateway_list_t *others, int64_t now_us);

/**
 * skh_target_record_cold() - record how long the server stays cold, as it says in a response
 * @left_ms: value of the header; other forms are ignored
 */
void skh_target_record_cold(skh_target_t *target, const char *left_ms, int64_t now_us);

/**
 * skh_target_pool_is_out_of_service() - true when all servers are in domains that are out of service
 *
 * Servers that are leaving or superseded don't count. False without any server.
 */
bool skh_target_pool_is_out_of_service(const skh_target_pool_t *pool);

/** skh_target_pool_has_servers() - true when a server is neither leaving nor superseded */
bool skh_target_pool_has_servers(const skh_target_pool_t *pool);

/**
 * skh_target_pool_accepts_from_us() - when a server that asked for a pause accepts requests again
 * Return: the earliest such time; 0 if a server accepts requests now, or if there is no server.
 */
int64_t skh_target_pool_accepts_from_us(const skh_target_pool_t *pool, int64_t now_us);

/** skh_target_pool_completion_rate() - returns successful requests per second; 0 when unknown */
double skh_target_pool_completion_rate(const skh_target_pool_t *pool, int64_t now_us);

/** skh_target_pool_is_rank_unreachable() - true when a rank is silent while its group makes progress */
bool skh_target_pool_is_rank_unreachable(const skh_target_pool_t *pool, const skh_target_t *target,
					 int64_t now_us);

/** skh_target_set_stream_paused() - record that one of the target's streams is not read, or is again */
void skh_target_set_stream_paused(skh_target_t *target, bool is_paused, int64_t now_us);

/**
 * skh_target_begin_attempt() - counts a request as in flight; takes a reference to @target
 * @expected_tokens: expected tokens of the request
 */
void skh_target_begin_attempt(skh_target_t *target, double expected_tokens, int64_t now_us);

/** enum skh_target_outcome - outcome of an attempt with regard to its server */
typedef enum skh_target_outcome {
	SKH_TARGET_OUTCOME_SUCCEEDED,
	SKH_TARGET_OUTCOME_FAILED,
	SKH_TARGET_OUTCOME_UNREACHABLE,
	SKH_TARGET_OUTCOME_FULL,	   /* the server rejected the request: no free slot */
	SKH_TARGET_OUTCOME_WRONG_INSTANCE, /* another instance responded at the address */
	SKH_TARGET_OUTCOME_CANCELLED /* the caller disconnected; the server's statistics stay as they are */
} skh_target_outcome_t;

/** struct skh_target_result - result of one request at a server */
typedef struct skh_target_result {
	double expected_tokens;
	bool is_streaming; /* the response had begun */
	skh_target_outcome_t outcome;
	int64_t latency_us; /* up to the first event or the complete response; 0 when unknown */
} skh_target_result_t;

/**
 * skh_target_end_attempt() - ends a request in flight, updates the server's statistics and drops
 * the request's reference to @target
 */
void skh_target_end_attempt(skh_target_t *target, const skh_target_result_t *result,
			    int64_t now_us);

/**
 * skh_target_record_leaving() - record that the server has said that it is leaving
 *
 * It gets no new requests from then on, whatever the roster says, until it starts again.
 */
void skh_target_record_leaving(skh_target_t *target);

/**
 * skh_target_record_retry_after() - record that the server has rejected a request for a while
 * @retry_after: value of the Retry-After header in seconds, may have a fraction; other forms are
 *	ignored
 *
 * The server gets no requests of this gateway during that time.
 */
void skh_target_record_retry_after(skh_target_t *target, const char *retry_after, int64_t now_us);

/**
 * skh_target_record_limit() - record the limit that the server named in a response
 * @per_s: value of the header, requests a second; NULL if it named none; other forms are ignored
 */
void skh_target_record_limit(skh_target_t *target, const char *per_s, int64_t now_us);

/**
 * skh_target_record_load() - record the load that the server stated in a response
 * @load: running and queued requests and slots, separated by commas; other forms are ignored
 * @own_running: requests of this gateway among them
 */
void skh_target_record_load(skh_target_t *target, const char *load, uint32_t own_running,
			    int64_t now_us);

/** skh_target_mark_unreachable() - counts a failure and avoids the server for a back-off time */
void skh_target_mark_unreachable(skh_target_t *target, int64_t now_us);
/** skh_target_unref() - drops a reference; the last one frees @target and its connections */
void skh_target_unref(skh_target_t *target);

#ifdef __cplusplus
}
#endif
#endif
