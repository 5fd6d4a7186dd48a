#ifndef SKH_BACKENDS_H
#define SKH_BACKENDS_H

/**
 * DOC: Backend servers as a gateway sees them
 *
 * Keeps, for each server of the roster, its connections and what its answers
 * have shown, and for each service the requests that wait. Runs on the event
 * loop's thread.
 */

#include "group_breaker.h"
#include "server_selection.h"
#include "retry_share.h"
#include "roster.h"
#include "routing.h"
#include "upstream.h"
#include "request_queue.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_target skh_target_t;
typedef struct skh_target_pool skh_target_pool_t;

/** struct skh_target - one server; counted by reference */
struct skh_target {
	skh_server_t *server;
	skh_target_pool_t *target_pool;
	skh_upstream_pool_t *pool;
	uint32_t references;
	bool listed; /* in the roster */
	uint32_t own_running;
	uint32_t own_streaming;	  /* of those, such that have begun to answer */
	int64_t busy_since_us;	  /* own_running is not 0 since */
	int64_t last_received_us; /* the last bytes of an answer */
	double expected_tokens;	  /* expected tokens of those */
	uint32_t peers_running;	  /* by the other gateways' reports */
	double mean_latency_ms;
	double slowdown; /* of a rank, as its coordinator tells; 1 is usual */
	double failure_ratio;
	uint32_t consecutive_failures; /* in a row */
	int64_t avoid_until_us;
	int64_t full_until_us;
	int64_t wrong_instance_until_us; /* another instance answered at its address */
	bool superseded;		 /* a later start is listed at its address */
};

#define SKH_TARGET_POOL_RATE_SLOTS 8

/** struct skh_target_pool - one service: its servers and who waits for them */
struct skh_target_pool {
	char *service;
	GPtrArray *targets; /* listed ones */
	skh_request_queue_t *queue;
	skh_retry_share_t retry_share;
	bool lock_step;
	skh_group_breaker_t gate; /* where the servers are ranks of a group */
	uint32_t max_connections;
	int64_t typical_first_event_ms;		      /* usual time to the first event or answer */
	double completed[SKH_TARGET_POOL_RATE_SLOTS]; /* requests that ended, by time slot */
	int64_t completed_slot;
};

typedef struct skh_backends skh_backends_t;

skh_backends_t *skh_backends_new(uv_loop_t *loop, const skh_upstream_pool_options_t *options);
void skh_backends_free(skh_backends_t *backends);

/** skh_backends_sync() - follow the roster; servers that are gone get nothing new */
void skh_backends_sync(skh_backends_t *backends, const skh_roster_t *roster,
		       const skh_routing_t *routing);

/** skh_backends_get_or_create_pool() - the service called @name; made when it is new */
skh_target_pool_t *skh_backends_get_or_create_pool(skh_backends_t *backends, const char *name);
skh_target_t *skh_backends_find_target(skh_backends_t *backends, const char *id);

typedef void (*skh_target_pool_fn)(skh_target_pool_t *front, void *context);
typedef void (*skh_target_fn)(skh_target_t *target, void *context);
void skh_backends_for_each_pool(skh_backends_t *backends, skh_target_pool_fn fn, void *context);
void skh_backends_for_each_target(skh_backends_t *backends, skh_target_fn fn, void *context);

/**
 * skh_target_pool_select() - the server that a request goes to now, or NULL when all are full
 * @tried: servers that it has been sent to, skh_target_t
 */
skh_target_t *skh_target_pool_select(skh_target_pool_t *front, const GPtrArray *tried,
				     int64_t now_us);

/** skh_backends_set_slowdowns() - @text: "address pace" of slow ranks, a line each; all others are usual */
void skh_backends_set_slowdowns(skh_backends_t *backends, const char *text);

/** skh_target_pool_has_servers() - some server may be used now or later */
bool skh_target_pool_has_servers(const skh_target_pool_t *front);

/** skh_target_pool_completion_rate() - requests that end here in a second; 0 when unknown */
double skh_target_pool_completion_rate(const skh_target_pool_t *front, int64_t now_us);

/** skh_target_pool_is_rank_lost() - the rank is out of reach while others of its group move */
bool skh_target_pool_is_rank_lost(const skh_target_pool_t *front, const skh_target_t *target,
				  int64_t now_us);

/* A request is at the server from begin to end. */
void skh_target_begin_request(skh_target_t *target, double work, int64_t now_us);

/** enum skh_outcome - what an attempt says of its server */
typedef enum skh_outcome {
	SKH_OUTCOME_SUCCEEDED,
	SKH_OUTCOME_FAILED,
	SKH_OUTCOME_UNREACHABLE,
	SKH_OUTCOME_FULL,
	SKH_OUTCOME_WRONG_INSTANCE, /* another instance has its address */
	SKH_OUTCOME_CANCELED	    /* the caller left: says nothing */
} skh_outcome_t;

/** struct skh_target_result - one request's use of a server, as it ends */
typedef struct skh_target_result {
	double expected_tokens;
	bool streaming; /* it had begun to answer */
	skh_outcome_t outcome;
	int64_t latency_us; /* to the first event or the whole answer; 0 when unknown */
} skh_target_result_t;

void skh_target_end_request(skh_target_t *target, const skh_target_result_t *use, int64_t now_us);

/** skh_target_mark_unreachable() - it is out of reach: leave it alone for a while */
void skh_target_mark_unreachable(skh_target_t *target, int64_t now_us);
void skh_target_unref(skh_target_t *target);

#ifdef __cplusplus
}
#endif
#endif
