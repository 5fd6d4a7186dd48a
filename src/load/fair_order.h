#ifndef SKH_FAIR_ORDER_H
#define SKH_FAIR_ORDER_H

/**
 * DOC: Order of requests under shortage
 *
 * Ranks waiting requests by priority and by whether they can still be on time, shares a priority
 * among its customers, and keeps a floor for the least urgent priority.
 *
 * Load pattern: a backlog of late requests after a stop, together with a customer that sends ten
 * times its share. A late request of a priority goes after the requests of the next priority that
 * can be on time: for its caller the delay has already happened, while theirs can be avoided. It
 * goes before the priority after that. Within a rank, start-time fair queueing by customer
 * (fair_queue.h) makes a customer delay only its own requests; an idle customer saves nothing up.
 * The least urgent priority gets a twentieth of the starts while it waits.
 *
 * Does no I/O. The owner serialises calls.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Less urgent priorities share the account of the last. */
#define SKH_FAIR_ORDER_PRIORITIES 4
/* Part of the starts that the least urgent priority gets while it waits. */
#define SKH_FAIR_ORDER_FLOOR_RATIO 0.05

typedef struct skh_fair_order skh_fair_order_t;

skh_fair_order_t *skh_fair_order_new(void);
void skh_fair_order_free(skh_fair_order_t *order);

/**
 * skh_fair_order_rank() - rank of a request; lower ranks are served first
 * @is_late: the request can't be on time any more
 */
uint32_t skh_fair_order_rank(uint32_t priority, bool is_late);

/**
 * skh_fair_order_enqueue() - count a waiting request of @customer
 * @customer: hash of the customer's name
 * Return: its tag; within a rank, requests with lower tags are served first. The unit is a request
 * of the customer.
 */
double skh_fair_order_enqueue(skh_fair_order_t *order, uint32_t priority, uint64_t customer);

/**
 * skh_fair_order_start() - record that a waiting request is served
 * @least_urgent: the least urgent priority that waits, with this request
 * @is_alone: all that waits has this priority
 */
void skh_fair_order_start(skh_fair_order_t *order, uint32_t priority, uint64_t customer, double tag,
			  uint32_t least_urgent, bool is_alone);

/** skh_fair_order_cancel() - record that a waiting request is not served */
void skh_fair_order_cancel(skh_fair_order_t *order, uint32_t priority, uint64_t customer);

/** skh_fair_order_is_floor_due() - whether the least urgent priority that waits is served next */
bool skh_fair_order_is_floor_due(const skh_fair_order_t *order);

#ifdef __cplusplus
}
#endif
#endif
