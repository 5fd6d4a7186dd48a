#ifndef SKH_REQUEST_QUEUE_H
#define SKH_REQUEST_QUEUE_H

/**
 * DOC: Request queue
 *
 * Orders the requests that wait for a server of one service. After a burst beyond
 * capacity, first-in-first-out order would make every request miss its latency
 * objective for as long as the backlog lasts. The queue serves lower priority numbers
 * first. Within a priority, requests that can still meet their objective come first. A late
 * request goes after those of the next priority that can meet theirs, and a customer delays
 * only its own requests (fair_order.h). The owner rejects the requests that
 * skh_request_queue_find_expired() finds, so that no request waits that can't be served
 * any more.
 *
 * Does no I/O. The queue borrows the requests: the owner embeds each in a struct of its own
 * and removes it from the queue before freeing it. The owner serialises calls. Times are in
 * microseconds on one monotonic clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_queued_request - one waiting request; embedded by its owner */
typedef struct skh_queued_request {
	uint32_t priority; /* 0 is served first */
	int64_t enqueued_us;
	int64_t dispatch_objective_us; /* latest dispatch that meets the latency objective */
	int64_t expires_us;	       /* time from which the request can't be served any more */
	int32_t index;		       /* position in the queue's array; -1 if not queued */
	bool was_rejected_as_probe;    /* rejected as a probe of a tripped group */
	bool is_resumed;	       /* a stream that is continued at another server */
	bool has_returned;	       /* came back at the time that it was told */
	uint64_t customer;	       /* hash of the customer's name */
	double fair_tag;	       /* set by the queue, see fair_order.h */
} skh_queued_request_t;

typedef struct skh_request_queue skh_request_queue_t;

skh_request_queue_t *skh_request_queue_new(void);
void skh_request_queue_free(skh_request_queue_t *queue);

void skh_request_queue_enqueue(skh_request_queue_t *queue, skh_queued_request_t *request);
/** skh_request_queue_remove() - take out a request that is not served */
void skh_request_queue_remove(skh_request_queue_t *queue, skh_queued_request_t *request);
/**
 * skh_request_queue_start() - take out a request that is served now
 * Return: true if it is served by the floor of the least urgent priority.
 */
bool skh_request_queue_start(skh_request_queue_t *queue, skh_queued_request_t *request);
uint32_t skh_request_queue_length(const skh_request_queue_t *queue);

/**
 * skh_request_queue_set_delay() - set how much longer than assumed the first event takes now
 * @delay_us: beyond what @dispatch_objective_us and @expires_us allow for; 0 at first
 */
void skh_request_queue_set_delay(skh_request_queue_t *queue, int64_t delay_us);

/** skh_request_queue_is_late() - whether @request can't meet its objective any more if sent now */
bool skh_request_queue_is_late(const skh_request_queue_t *queue,
			       const skh_queued_request_t *request, int64_t now_us);

/**
 * skh_request_queue_rank() - rank of @request among those of all gateways; lower ranks go first
 *
 * Sent to engines, which admit more urgent requests first: the requests of all gateways meet there.
 */
uint32_t skh_request_queue_rank(const skh_request_queue_t *queue,
				const skh_queued_request_t *request, int64_t now_us);

/** skh_request_queue_is_expired() - whether @request is not worth sending at @now_us any more */
bool skh_request_queue_is_expired(const skh_request_queue_t *queue,
				  const skh_queued_request_t *request, int64_t now_us);

/** skh_request_queue_sort() - the waiting requests in the order of service, without the floor */
GPtrArray *skh_request_queue_sort(const skh_request_queue_t *queue, int64_t now_us);

/** skh_request_queue_peek() - get the next request without removing it; NULL if empty */
skh_queued_request_t *skh_request_queue_peek(const skh_request_queue_t *queue, int64_t now_us);

/**
 * skh_request_queue_peek_probe() - get the next request to probe a group that may reject it
 *
 * Return: the next request that the group has not rejected yet, or the next request if
 * it has rejected all; it stays in the queue. NULL if empty.
 */
skh_queued_request_t *skh_request_queue_peek_probe(const skh_request_queue_t *queue,
						   int64_t now_us);

/** skh_request_queue_find_expired() - get a request that can't be served any more, or NULL */
skh_queued_request_t *skh_request_queue_find_expired(const skh_request_queue_t *queue,
						     int64_t now_us);

/** skh_request_queue_count_ahead() - number of queued requests served before a new @request */
uint32_t skh_request_queue_count_ahead(const skh_request_queue_t *queue,
				       const skh_queued_request_t *request, int64_t now_us);

/** skh_request_queue_count_equal() - those of the request's own priority among them */
uint32_t skh_request_queue_count_equal(const skh_request_queue_t *queue,
				       const skh_queued_request_t *request, int64_t now_us);

/** skh_request_queue_least_urgent() - the least urgent priority that waits; 0 if none does */
uint32_t skh_request_queue_least_urgent(const skh_request_queue_t *queue);

/**
 * skh_request_queue_count_priorities() - count the queued requests by priority
 * @counts: [@n_priorities]; requests of a greater priority number count as the last
 */
void skh_request_queue_count_priorities(const skh_request_queue_t *queue, uint32_t *counts,
					uint32_t n_priorities);

#ifdef __cplusplus
}
#endif
#endif
