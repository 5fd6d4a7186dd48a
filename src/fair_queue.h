#ifndef SKH_FAIR_QUEUE_H
#define SKH_FAIR_QUEUE_H

/**
 * DOC: Fair queueing
 *
 * Start-time fair queueing among customers by weight: each request gets a tag,
 * and the smallest tag goes first. A customer that sends more than its share
 * only delays itself. Pure state; the owner serialises calls.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_fair_queue skh_fair_queue_t;

skh_fair_queue_t *skh_fair_queue_new(void);
void skh_fair_queue_free(skh_fair_queue_t *fair);

/**
 * skh_fair_queue_enqueue() - one more request of @customer waits
 * @customer: hash of its name
 * @weight: its share; 0 or less counts as 1
 * Return: the request's tag.
 */
double skh_fair_queue_enqueue(skh_fair_queue_t *fair, uint64_t customer, double weight);

/** skh_fair_queue_start() - the request of @customer with @tag no longer waits but runs */
void skh_fair_queue_start(skh_fair_queue_t *fair, uint64_t customer, double tag);

/** skh_fair_queue_cancel() - a request of @customer leaves without having run */
void skh_fair_queue_cancel(skh_fair_queue_t *fair, uint64_t customer);

/** skh_fair_queue_finish() - a request of @customer has run */
void skh_fair_queue_finish(skh_fair_queue_t *fair, uint64_t customer);

/** skh_fair_queue_is_over_share() - whether @customer runs its share of @capacity or more already */
bool skh_fair_queue_is_over_share(const skh_fair_queue_t *fair, uint64_t customer,
				  uint32_t capacity);

/** skh_fair_queue_evict_idle() - forget customers that have nothing to catch up */
void skh_fair_queue_evict_idle(skh_fair_queue_t *fair);

#ifdef __cplusplus
}
#endif
#endif
