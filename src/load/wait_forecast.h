#ifndef SKH_WAIT_FORECAST_H
#define SKH_WAIT_FORECAST_H

/**
 * DOC: Forecast of the wait for a server
 *
 * Estimates when a waiting request is sent to a server and how long its first event then takes, so
 * that a request which can't be served in time is rejected at once and one that still can be on
 * time goes first.
 *
 * Load pattern: after a stop of some seconds the completion rate of the recent past is 0 or that of
 * the stop, so nothing can be concluded from it. Under full load the first event takes two to three
 * times as long as on a quiet group; requests that are sent at the last moment by the time of a
 * quiet group are all late. So the rate is computed from what runs and how long it runs, and the
 * time to the first event is the measured one.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* More urgent and less urgent priorities than this are counted together with the last. */
#define SKH_WAIT_FORECAST_PRIORITIES	4
#define SKH_WAIT_FORECAST_FIRST_SAMPLES 24

/** struct skh_wait_forecast - observations of one service; zero-initialised nothing is known */
typedef struct skh_wait_forecast {
	int64_t first_event_us[SKH_WAIT_FORECAST_FIRST_SAMPLES]; /* newest samples, a ring */
	uint32_t n_first_events;
	double passes;	/* of a typical stream; 0 if unknown */
	double held_us; /* for how long a typical request is at a server; 0 if unknown */
	double arrivals_per_s[SKH_WAIT_FORECAST_PRIORITIES]; /* at @arrivals_us */
	int64_t arrivals_us;
	int64_t arrivals_since_us; /* first arrival; 0 for none */
} skh_wait_forecast_t;

/** skh_wait_forecast_record_arrival() - count a new request */
void skh_wait_forecast_record_arrival(skh_wait_forecast_t *forecast, uint32_t priority,
				      int64_t now_us);

/** skh_wait_forecast_record_first_event() - record the time from sending to the first event */
void skh_wait_forecast_record_first_event(skh_wait_forecast_t *forecast, int64_t duration_us);

/**
 * skh_wait_forecast_record_end() - record a request that was served
 * @passes: events of its stream; 0 for other requests
 * @held_us: time from sending it to its end
 */
void skh_wait_forecast_record_end(skh_wait_forecast_t *forecast, int64_t passes, int64_t held_us);

/**
 * skh_wait_forecast_first_event_us() - time to the first event that most requests stay within
 * @typical_us: returned if it is longer, or as long as little is known
 */
int64_t skh_wait_forecast_first_event_us(const skh_wait_forecast_t *forecast, int64_t typical_us);

/**
 * skh_wait_forecast_rate() - requests a second that leave the servers
 * @running: requests that run at a time
 * @pass_us: present duration of a pass; 0 if the servers run none
 * Return: requests a second; 0 if unknown
 */
double skh_wait_forecast_rate(const skh_wait_forecast_t *forecast, double running, int64_t pass_us);

/**
 * skh_wait_forecast_running() - requests that run on average, by Little's law
 * @starts_per_s: requests that start a second
 * @pass_us: present duration of a pass; 0 if the servers run none
 * Return: 0 if unknown
 */
double skh_wait_forecast_running(const skh_wait_forecast_t *forecast, double starts_per_s,
				 int64_t pass_us);

/** struct skh_wait_position - place of a request among what waits */
typedef struct skh_wait_position {
	double ahead;	      /* requests that wait and are sent before it */
	double ahead_equal;   /* those of its own priority among them */
	bool has_floor;	      /* its priority is the least urgent one; see fair_order.h */
	double free;	      /* requests that can be sent now */
	double rate;	      /* requests that can be sent each second from then on */
	uint32_t priority;    /* requests of more urgent priorities that arrive go before it */
	bool is_behind_equal; /* so do those of its own priority: it is late and they are not */
} skh_wait_position_t;

/**
 * skh_wait_forecast_wait_us() - expected time until a request is sent
 * Return: 0 if the rate is unknown
 */
int64_t skh_wait_forecast_wait_us(const skh_wait_forecast_t *forecast,
				  const skh_wait_position_t *position, int64_t now_us);

/**
 * skh_wait_forecast_urgency() - how urgent a priority is among the recent requests
 * Return: part of the requests that are less urgent, minus the part that is more urgent
 */
double skh_wait_forecast_urgency(const skh_wait_forecast_t *forecast, uint32_t priority);

/** skh_wait_forecast_spare_rate() - part of @rate that new requests leave, at least a tenth */
double skh_wait_forecast_spare_rate(const skh_wait_forecast_t *forecast, double rate,
				    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
