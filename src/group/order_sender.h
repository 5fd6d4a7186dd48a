#ifndef SKH_ORDER_SENDER_H
#define SKH_ORDER_SENDER_H

/**
 * DOC: Sending of a coordinator's orders
 *
 * Sends the orders of a map change to the ranks: through the relay of each rank's process, in
 * batches through the relays of a few ranks (order_batch.h), through the proxy rank, or directly to
 * an engine whose relay did not respond. Relays check that their engine is in the group; before an
 * order is sent directly, the engine is asked. Owns the calls in progress, not the clients. All calls are
 * made on the event loop's thread.
 */

#include "groupview.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_order_sender skh_order_sender_t;

/** struct skh_rank_order - order to one rank, without the map */
typedef struct skh_rank_order {
	uint32_t rank;
	skh_mapchange_order_t order;
} skh_rank_order_t;

/** struct skh_order_sender_options - copied, but what it points to must outlive the sender */
typedef struct skh_order_sender_options {
	const skh_dialect_t *dialect;
	const skh_groupview_t *view;
	/* Called once for each order of the change in progress. */
	void (*on_result)(void *context, uint32_t rank, skh_mapchange_order_result_t result);
	/* Polls the engine of @rank; skh_order_sender_record_poll() must follow. */
	void (*poll_engine)(void *context, uint32_t rank);
	void *context;
} skh_order_sender_options_t;

/** skh_order_sender_new() - return: owned by the caller; free with skh_order_sender_free() */
skh_order_sender_t *skh_order_sender_new(const skh_order_sender_options_t *options);
void skh_order_sender_free(skh_order_sender_t *sender);

/** skh_order_sender_resize() - forget what is known of the ranks; the group has @n_ranks now */
void skh_order_sender_resize(skh_order_sender_t *sender, uint32_t n_ranks);

/**
 * skh_order_sender_begin_change() - report only results of orders sent from now on
 * @proxy_rank: rank whose process sends hold orders
 */
void skh_order_sender_begin_change(skh_order_sender_t *sender, uint32_t proxy_rank);

/** skh_order_sender_send() - send orders, all with the view's next map */
void skh_order_sender_send(skh_order_sender_t *sender, const skh_rank_order_t *orders,
			   uint32_t n_orders);

/** skh_order_sender_record_poll() - send what waited for a poll of @rank's engine, see @poll_engine */
void skh_order_sender_record_poll(skh_order_sender_t *sender, uint32_t rank, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
