#ifndef SKH_CONCURRENCY_LIMIT_H
#define SKH_CONCURRENCY_LIMIT_H

/**
 * DOC: Concurrency limit of a lock-step group
 *
 * Limits how many requests each rank of a group runs, so that the time between two events of a
 * stream stays within the streams' gap objective. All streams of a group get an event at the end of
 * each pass, and a pass takes longer with each request that a rank runs.
 *
 * Load pattern: a demand shift, slow ranks or a backlog make passes two to three times as long as
 * the engine's cost says. With all slots in use every gap then exceeds the objective and all
 * responses are late, while two thirds of the slots would serve nearly as many requests on time.
 *
 * The input is the pass durations as the gateway sees them: the gaps between the events of a stream.
 * Their ratio to the engine's cost at the present load gives the duration at other loads. If one
 * request on each rank would already exceed the objective, the objective is out of reach. The limit
 * is then the greatest number of requests that still end before their deadlines.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_pass_cost - duration of a pass of a group, by its engine's specification */
typedef struct skh_pass_cost {
	uint32_t steps_per_pass;
	double step_ms;		    /* duration of a step without requests */
	double step_ms_per_request; /* added duration of a step per request that the rank runs */
} skh_pass_cost_t;

/** enum skh_limit_reason - what the present limit follows from */
typedef enum skh_limit_reason {
	SKH_LIMIT_NONE,	    /* there is no limit but the slots */
	SKH_LIMIT_GAP,	    /* more requests would exceed the gap objective */
	SKH_LIMIT_DEADLINE, /* the gap objective is out of reach; more would miss their deadlines */
} skh_limit_reason_t;

/** struct skh_concurrency_limit - state of one group; zero-initialised there is no limit */
typedef struct skh_concurrency_limit {
	double per_rank; /* requests that each rank may run, on average; 0 for no limit but the slots */
	skh_limit_reason_t reason;
	int64_t mean_pass_us;	/* recent duration of a pass; 0 if unknown */
	double skew;		/* mean duration of a pass relative to the engine's cost */
	double spread;		/* duration of long passes relative to the mean */
	double running;		/* requests a rank, averaged */
	int64_t last_gap_us;	/* time of the last gap */
	bool has_stopped;	/* the group has, since the last gap */
	int64_t resumed_us;	/* first gap after a stop; 0 for none */
	bool is_out_of_reach;	/* the gap objective is */
	uint32_t n_windows_out; /* windows in a row in which it was */
	/* gaps since the last update */
	int64_t window_began_us;
	double window_sum_us;
	int64_t window_longest_us;
	uint32_t n_gaps;
	int64_t gap_objective_us; /* the shortest of the streams; 0 for none */
	double logged_per_rank;	  /* limit when a change was last reported */
} skh_concurrency_limit_t;

/** struct skh_concurrency_input - load of the group at an update */
typedef struct skh_concurrency_input {
	skh_pass_cost_t cost;
	uint32_t slots;		 /* of a rank */
	double running_per_rank; /* requests of all gateways */
	double passes;		 /* of a typical stream; 0 if unknown */
	int64_t timeout_us;	 /* from the start of a stream to its deadline */
} skh_concurrency_input_t;

/**
 * skh_concurrency_limit_record_gap() - record the time between two events of a stream
 * @gap_objective_us: of the stream; 0 for none
 */
void skh_concurrency_limit_record_gap(skh_concurrency_limit_t *limit, int64_t gap_us,
				      int64_t gap_objective_us, int64_t now_us);

/** skh_concurrency_limit_record_stop() - the group serves nothing */
void skh_concurrency_limit_record_stop(skh_concurrency_limit_t *limit);

/**
 * skh_concurrency_limit_is_settling() - whether the group has just begun to serve after a stop
 *
 * Its passes say nothing about later ones then, and the limit stays as it is.
 */
bool skh_concurrency_limit_is_settling(const skh_concurrency_limit_t *limit, int64_t now_us);

/**
 * skh_concurrency_limit_update() - compute the limit from the gaps since the last update
 *
 * To be called every few ms; does nothing before enough gaps are known.
 *
 * Return: true if the limit has changed.
 */
bool skh_concurrency_limit_update(skh_concurrency_limit_t *limit,
				  const skh_concurrency_input_t *input, int64_t now_us);

/** skh_limit_reason_name() - word for logs */
const char *skh_limit_reason_name(skh_limit_reason_t reason);

#ifdef __cplusplus
}
#endif
#endif
