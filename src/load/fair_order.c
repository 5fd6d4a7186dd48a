#include "fair_order.h"

#include "fair_queue.h"

#include <glib.h>

/* Starts after which the counters of idle customers are freed. */
#define EVICTION_INTERVAL 1024
/* A late request goes after what can be on time of the next priority, before that of the one after. */
#define RANKS_PER_PRIORITY 2
#define LATE_RANKS	   3

struct skh_fair_order {
	skh_fair_queue_t *customers[SKH_FAIR_ORDER_PRIORITIES];
	double floor_credit; /* starts that the least urgent priority may claim */
	uint32_t n_starts;
};

skh_fair_order_t *skh_fair_order_new(void)
{
	skh_fair_order_t *order = g_new0(skh_fair_order_t, 1);

	for (uint32_t i = 0; i < SKH_FAIR_ORDER_PRIORITIES; i++)
		order->customers[i] = skh_fair_queue_new();
	return order;
}

void skh_fair_order_free(skh_fair_order_t *order)
{
	for (uint32_t i = 0; i < SKH_FAIR_ORDER_PRIORITIES; i++)
		skh_fair_queue_free(order->customers[i]);
	g_free(order);
}

uint32_t skh_fair_order_rank(uint32_t priority, bool is_late)
{
	return priority * RANKS_PER_PRIORITY + (is_late ? LATE_RANKS : 0);
}

static skh_fair_queue_t *customers_of(const skh_fair_order_t *order, uint32_t priority)
{
	return order->customers[MIN(priority, SKH_FAIR_ORDER_PRIORITIES - 1)];
}

double skh_fair_order_enqueue(skh_fair_order_t *order, uint32_t priority, uint64_t customer)
{
	return skh_fair_queue_enqueue(customers_of(order, priority), customer, 1.0);
}

static void update_floor(skh_fair_order_t *order, uint32_t priority, uint32_t least_urgent,
			 bool is_alone)
{
	if (is_alone)
		order->floor_credit = 0.0;
	else if (priority == least_urgent)
		order->floor_credit =
			MAX(order->floor_credit - 1.0 + SKH_FAIR_ORDER_FLOOR_RATIO, 0.0);
	else
		order->floor_credit = MIN(order->floor_credit + SKH_FAIR_ORDER_FLOOR_RATIO,
					  1.0 + SKH_FAIR_ORDER_FLOOR_RATIO);
}

void skh_fair_order_start(skh_fair_order_t *order, uint32_t priority, uint64_t customer, double tag,
			  uint32_t least_urgent, bool is_alone)
{
	skh_fair_queue_t *customers = customers_of(order, priority);

	skh_fair_queue_start(customers, customer, tag);
	skh_fair_queue_finish(customers, customer);
	if (++order->n_starts % EVICTION_INTERVAL == 0)
		skh_fair_queue_evict_idle(customers);
	update_floor(order, priority, least_urgent, is_alone);
}

void skh_fair_order_cancel(skh_fair_order_t *order, uint32_t priority, uint64_t customer)
{
	skh_fair_queue_cancel(customers_of(order, priority), customer);
}

bool skh_fair_order_is_floor_due(const skh_fair_order_t *order)
{
	return order->floor_credit >= 1.0;
}
