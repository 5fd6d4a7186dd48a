#ifndef SKH_RETURN_SCHEDULE_H
#define SKH_RETURN_SCHEDULE_H

/**
 * DOC: When rejected callers come back
 *
 * Gives each rejected request a time to come back at which it is expected to be served, and
 * recognises it then.
 *
 * Load pattern: a stop of a few seconds rejects hundreds of requests. With the same Retry-After for
 * all, they come back together and are rejected again, and a caller comes back only once. The
 * returns are therefore spread so that they arrive at the rate at which capacity becomes free. A
 * caller honours a Retry-After only up to a third of the time that it has left; a request that would
 * have to come back later gets none.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Requests that are expected back are remembered up to this number; the oldest is forgotten. */
#define SKH_RETURN_SCHEDULE_EXPECTED 512

/** struct skh_expected_return - a request that was told to come back */
typedef struct skh_expected_return {
	uint64_t content_hash; /* 0 for none */
	int64_t due_us;
	int64_t origin_us;   /* first arrival of the request */
	int64_t deadline_us; /* of the request, however often it comes */
} skh_expected_return_t;

/** struct skh_return_schedule - returns to one service; zero-initialised none are expected */
typedef struct skh_return_schedule {
	int64_t next_us; /* earliest time for the next return */
	skh_expected_return_t expected[SKH_RETURN_SCHEDULE_EXPECTED];
	uint32_t n_told; /* position of the next entry, counted on */
} skh_return_schedule_t;

/** struct skh_return_request - a request that is rejected */
typedef struct skh_return_request {
	uint64_t content_hash;
	int64_t origin_us;    /* first arrival of the request */
	int64_t free_from_us; /* when capacity is expected to be free for it */
	double returns_per_s; /* returns that can be served each second; 0 if unknown */
	int64_t deadline_us;
	bool is_end_unknown; /* the servers are stopped: the later the better */
} skh_return_request_t;

/**
 * skh_return_schedule_add() - schedule the return of a rejected request
 * Return: microseconds after which the caller shall come back; 0 if it can't be served in time.
 */
int64_t skh_return_schedule_add(skh_return_schedule_t *schedule,
				const skh_return_request_t *request, int64_t now_us);

/**
 * skh_return_schedule_take() - whether a request came back at the time it was told; forgets it
 *
 * A request that is back before its time counts as a new one, and so does one with the same content
 * and another deadline.
 *
 * Return: time of its first arrival, from which its caller has waited; 0 for a new request.
 */
int64_t skh_return_schedule_take(skh_return_schedule_t *schedule, uint64_t content_hash,
				 int64_t deadline_us, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
