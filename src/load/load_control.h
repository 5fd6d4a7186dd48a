#ifndef SKH_LOAD_CONTROL_H
#define SKH_LOAD_CONTROL_H

/**
 * DOC: Load control of a service
 *
 * What a gateway decides about the queue of one service under load: how many of its requests may
 * run, whether a request can be served in time, which waiting requests can't be any more, and when
 * a rejected caller shall come back. Combines concurrency_limit.h, wait_forecast.h and
 * return_schedule.h; pool_load.h applies it to a service's servers.
 *
 * Load pattern: many gateways that each see a part of the traffic in front of one lock-step group.
 * The limit of the group is divided by the gateways' shares; what the others leave unused, by their
 * last reports, is taken by halves, so that gateways which all see the same room don't fill it
 * twice. Nothing is rejected while nothing waits. Of services that are not lock-step groups only the
 * completions are known, and they say how many requests came rather than how many can be served; so
 * their requests are rejected only by what waits ahead of them.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include "concurrency_limit.h"
#include "request_queue.h"
#include "return_schedule.h"
#include "wait_forecast.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_load_control - state of one service; zero-initialised nothing is known */
typedef struct skh_load_control {
	skh_wait_forecast_t forecast;
	skh_return_schedule_t returns;
	double pace_tokens; /* requests that may start at @paced_us */
	int64_t paced_us;
	int64_t timeout_us; /* from arrival to deadline, of recent requests */
} skh_load_control_t;

/** struct skh_group_load - a lock-step group as the gateway sees it now */
typedef struct skh_group_load {
	uint32_t ranks; /* servers that take requests */
	uint32_t own_running;
	uint32_t peers_running; /* requests of the other gateways, an estimate; 0 if unknown */
	double share;		/* of the capacity for this gateway, 0 to 1 */
} skh_group_load_t;

/** struct skh_load_view - a service as the gateway sees it now */
typedef struct skh_load_view {
	uint32_t ranks; /* servers that take requests */
	uint32_t slots; /* of all of them */
	uint32_t own_running;
	double share;		  /* of the capacity for this gateway, 0 to 1 */
	double own_limit;	  /* requests that this gateway may run; 0 for no limit */
	int64_t pass_us;	  /* duration of a pass; 0 if unknown */
	double completions_per_s; /* of this gateway; 0 if unknown */
	bool is_lock_step;
	bool is_blocked; /* the last attempt to send found no room, for another reason than the pace */
	bool is_stopped;  /* the servers answer nothing or reject everything */
	bool is_settling; /* a group has just begun to serve after a stop */
} skh_load_view_t;

/** skh_group_load_running() - requests of all gateways that run in the group; an estimate */
double skh_group_load_running(const skh_group_load_t *load);

/** skh_group_load_own_limit() - requests that this gateway may run there; 0 for no limit */
double skh_group_load_own_limit(const skh_concurrency_limit_t *limit, const skh_group_load_t *load);

/**
 * skh_load_control_record_arrival() - count a new request
 * @timeout_us: from now to its deadline
 */
void skh_load_control_record_arrival(skh_load_control_t *control, uint32_t priority,
				     int64_t timeout_us, int64_t now_us);

/**
 * skh_load_control_update_limit() - compute the limit of a group anew
 * @rank_slots: request slots of a rank
 *
 * To be called every few ms.
 *
 * Return: true if the limit's reason has changed, or its value by one request a rank.
 */
bool skh_load_control_update_limit(const skh_load_control_t *control,
				   skh_concurrency_limit_t *limit, const skh_group_load_t *load,
				   const skh_pass_cost_t *cost, uint32_t rank_slots,
				   int64_t now_us);

/** struct skh_start_room - what this gateway may use of a group, for one request to start */
typedef struct skh_start_room {
	double own_limit;  /* requests that it may run there by the limit; 0 for no limit */
	double own_slots;  /* its part of the group's slots */
	uint32_t priority; /* of the request */
	bool is_late;	   /* the request can't be on time any more */
} skh_start_room_t;

/**
 * skh_load_control_max_running() - requests that may run for another one to start
 *
 * Among few requests, arrivals and ends vary too much to start urgent ones in time under a fixed
 * limit. An urgent request may exceed this gateway's limit by as much as less urgent ones stay
 * below it; on average the limit is kept. Without a limit, late requests leave a part of the slots
 * free: one takes its slot for seconds, and those that arrive in that time can be on time.
 *
 * Return: 1 or more; 0 for no limit.
 */
uint32_t skh_load_control_max_running(const skh_load_control_t *control,
				      const skh_start_room_t *room);

/**
 * skh_load_control_is_paced() - whether a start has to wait because others have just started
 *
 * A wait of a pass at most, which says nothing about the room at the servers.
 */
bool skh_load_control_is_paced(const skh_load_control_t *control, const skh_load_view_t *view,
			       int64_t now_us);

/**
 * skh_load_control_record_start() - count a request that is sent to a server
 *
 * A group processes the prompts that begin in a pass before it ends the pass. When a backlog starts
 * at once after a stop, the first passes last several times as long as the gap objective. So a
 * gateway starts about one request for each rank of its share in a pass.
 */
void skh_load_control_record_start(skh_load_control_t *control, const skh_load_view_t *view,
				   int64_t now_us);

/**
 * skh_load_control_wait_us() - expected time until @request is sent
 * @request: of @queue, or a new one
 * @is_late: as if it could not be on time any more
 * Return: 0 if the rate is unknown
 */
int64_t skh_load_control_wait_us(const skh_load_control_t *control, const skh_load_view_t *view,
				 const skh_request_queue_t *queue,
				 const skh_queued_request_t *request, bool is_late, int64_t now_us);

/**
 * skh_load_control_can_serve() - whether a new @request can be served in time, if late
 *
 * A request that would become late in the queue is overtaken there by those that don't.
 */
bool skh_load_control_can_serve(const skh_load_control_t *control, const skh_load_view_t *view,
				const skh_request_queue_t *queue,
				const skh_queued_request_t *request, int64_t now_us);

/**
 * skh_load_control_find_unservable() - find the waiting requests that can't be served in time
 * @found: skh_queued_request_t, appended in the order of service; they stay in the queue
 *
 * A stream that is to be resumed is kept.
 */
void skh_load_control_find_unservable(const skh_load_control_t *control,
				      const skh_load_view_t *view, const skh_request_queue_t *queue,
				      GPtrArray *found, int64_t now_us);

/** struct skh_rejected_request - a request whose caller may come back */
typedef struct skh_rejected_request {
	const skh_queued_request_t *queued;
	uint64_t content_hash;
	int64_t origin_us; /* first arrival */
	int64_t deadline_us;
} skh_rejected_request_t;

/**
 * skh_load_control_schedule_return() - when the caller of a rejected request shall come back
 * Return: microseconds from now; 0 if it can't be served in time.
 */
int64_t skh_load_control_schedule_return(skh_load_control_t *control, const skh_load_view_t *view,
					 const skh_request_queue_t *queue,
					 const skh_rejected_request_t *rejected, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
