#ifndef SKH_BACKENDS_H
#define SKH_BACKENDS_H

/**
 * DOC: Backend servers as a gateway sees them
 *
 * Keeps, for each server of the roster, its connections and what its answers
 * have shown, and for each service the requests that wait. Runs on the event
 * loop's thread.
 */

#include "groupgate.h"
#include "pick.h"
#include "retryshare.h"
#include "roster.h"
#include "routing.h"
#include "upstream.h"
#include "waitline.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_target skh_target_t;
typedef struct skh_front skh_front_t;

/** struct skh_target - one server; counted by reference */
struct skh_target {
	skh_server_t *server;
	skh_front_t *front;
	skh_pool_t *pool;
	uint32_t references;
	bool listed; /* in the roster */
	uint32_t own_running;
	uint32_t own_streaming; /* of those, such that have begun to answer */
	int64_t busy_since_us;	/* own_running is not 0 since */
	int64_t heard_us;	/* the last bytes of an answer */
	double own_work;	/* expected tokens of those */
	uint32_t peers_running; /* by the other gateways' reports */
	double mean_ms;
	double pace; /* of a rank, as its coordinator tells; 1 is usual */
	double failing;
	uint32_t failures; /* in a row */
	int64_t avoid_till_us;
	int64_t full_till_us;
	int64_t misplaced_till_us; /* another instance answered at its address */
	bool superseded;	   /* a later start is listed at its address */
};

#define SKH_FRONT_RATE_SLOTS 8

/** struct skh_front - one service: its servers and who waits for them */
struct skh_front {
	char *service;
	GPtrArray *targets; /* listed ones */
	skh_waitline_t *line;
	skh_retryshare_t share;
	bool lock_step;
	skh_groupgate_t gate; /* where the servers are ranks of a group */
	uint32_t max_connections;
	int64_t first_ms;		   /* usual time to the first event or answer */
	double done[SKH_FRONT_RATE_SLOTS]; /* requests that ended, by time slot */
	int64_t done_slot;
};

typedef struct skh_backends skh_backends_t;

skh_backends_t *skh_backends_new(uv_loop_t *loop, const skh_pool_options_t *options);
void skh_backends_free(skh_backends_t *backends);

/** skh_backends_sync() - follow the roster; servers that are gone get nothing new */
void skh_backends_sync(skh_backends_t *backends, const skh_roster_t *roster,
		       const skh_routing_t *routing);

/** skh_backends_front() - the service called @name; made when it is new */
skh_front_t *skh_backends_front(skh_backends_t *backends, const char *name);
skh_target_t *skh_backends_target(skh_backends_t *backends, const char *id);

typedef void (*skh_front_fn)(skh_front_t *front, void *context);
typedef void (*skh_target_fn)(skh_target_t *target, void *context);
void skh_backends_each_front(skh_backends_t *backends, skh_front_fn fn, void *context);
void skh_backends_each_target(skh_backends_t *backends, skh_target_fn fn, void *context);

/**
 * skh_front_pick() - the server that a request goes to now, or NULL when all are full
 * @tried: servers that it has been sent to, skh_target_t
 */
skh_target_t *skh_front_pick(skh_front_t *front, const GPtrArray *tried, int64_t now_us);

/** skh_backends_set_paces() - @text: "address pace" of slow ranks, a line each; all others are usual */
void skh_backends_set_paces(skh_backends_t *backends, const char *text);

/** skh_front_has_servers() - some server may be used now or later */
bool skh_front_has_servers(const skh_front_t *front);

/** skh_front_rate() - requests that end here in a second; 0 when unknown */
double skh_front_rate(const skh_front_t *front, int64_t now_us);

/** skh_front_is_lost() - the rank is out of reach while others of its group move */
bool skh_front_is_lost(const skh_front_t *front, const skh_target_t *target, int64_t now_us);

/* A request is at the server from begin to end. */
void skh_target_begin(skh_target_t *target, double work, int64_t now_us);

/** enum skh_outcome - what an attempt says of its server */
typedef enum skh_outcome {
	SKH_OUTCOME_GOOD,
	SKH_OUTCOME_FAILED,
	SKH_OUTCOME_UNREACHABLE,
	SKH_OUTCOME_FULL,
	SKH_OUTCOME_MISPLACED, /* another instance has its address */
	SKH_OUTCOME_WITHDRAWN  /* the caller left: says nothing */
} skh_outcome_t;

/** struct skh_target_use - one request's use of a server, as it ends */
typedef struct skh_target_use {
	double work;
	bool streaming; /* it had begun to answer */
	skh_outcome_t outcome;
	int64_t took_us; /* to the first event or the whole answer; 0 when unknown */
} skh_target_use_t;

void skh_target_end(skh_target_t *target, const skh_target_use_t *use, int64_t now_us);

/** skh_target_avoid() - it is out of reach: leave it alone for a while */
void skh_target_avoid(skh_target_t *target, int64_t now_us);
void skh_target_unref(skh_target_t *target);

#ifdef __cplusplus
}
#endif
#endif
