#ifndef SKH_FAIR_QUEUE_H
#define SKH_FAIR_QUEUE_H

/**
 * DOC: Fair queueing
 *
 * Start-time fair queueing: shares the capacity of a server among customers in
 * proportion to their weights. Each request gets a start tag in virtual time, and
 * the caller starts waiting requests in ascending order of their tags. A customer
 * that sends more than its share delays only its own requests.
 *
 * Owns the counters of the customers, but not the requests, and does no I/O. The
 * owner serialises calls.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_fair_queue skh_fair_queue_t;

skh_fair_queue_t *skh_fair_queue_new(void);
void skh_fair_queue_free(skh_fair_queue_t *queue);

/**
 * skh_fair_queue_enqueue() - count a new waiting request of @customer
 * @customer: hash of the customer's name
 * @weight: relative share of the customer; 0 or less counts as 1. A changed
 *          weight takes effect when the customer is next idle.
 *
 * Each call needs skh_fair_queue_start() and later skh_fair_queue_finish(), or
 * skh_fair_queue_cancel().
 *
 * Return: the start tag of the request.
 */
double skh_fair_queue_enqueue(skh_fair_queue_t *queue, uint64_t customer, double weight);

/** skh_fair_queue_start() - record that the waiting request of @customer with @tag has started */
void skh_fair_queue_start(skh_fair_queue_t *queue, uint64_t customer, double tag);

/** skh_fair_queue_cancel() - remove a waiting request of @customer and the delay that it adds */
void skh_fair_queue_cancel(skh_fair_queue_t *queue, uint64_t customer);

/** skh_fair_queue_finish() - record the end of a started request of @customer */
void skh_fair_queue_finish(skh_fair_queue_t *queue, uint64_t customer);

/**
 * skh_fair_queue_is_over_share() - whether @customer already runs its share of @capacity or more
 * @capacity: number of requests that the server runs at the same time
 */
bool skh_fair_queue_is_over_share(const skh_fair_queue_t *queue, uint64_t customer,
				  uint32_t capacity);

/**
 * skh_fair_queue_evict_idle() - free the counters of idle customers
 *
 * The counters of an idle customer that has used more than its share are kept, so that its
 * next requests are delayed in return.
 */
void skh_fair_queue_evict_idle(skh_fair_queue_t *queue);

#ifdef __cplusplus
}
#endif
#endif
