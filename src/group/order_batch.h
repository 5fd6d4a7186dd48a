#ifndef SKH_ORDER_BATCH_H
#define SKH_ORDER_BATCH_H

/**
 * DOC: Batches of a coordinator's orders
 *
 * Load pattern: a shift of demand in a group of more than a hundred ranks. All ranks must get the
 * same order within tens of milliseconds, from a process with a small share of a core and a link
 * of a few Mbit/s. One order after the other takes longer than the shift leaves time for.
 *
 * The order therefore goes to about the square root of the ranks, the heads. Each head passes it
 * on to the other ranks of its batch and responds with the status of each. The functions here
 * choose the batches and encode them; they are pure. Orders are fenced and idempotent, so one
 * that a frozen head passes on late is like any other late order (mapchange.h).
 */

#include "buffer.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_ORDER_BATCH_PATH "/rank/v1/orders"

/* With fewer ranks, a second hop costs more time than it saves. */
#define SKH_ORDER_BATCH_MIN_RANKS 24

/* Relays in one batch; bounds the connections that one message can make a process open. */
#define SKH_ORDER_BATCH_MAX_RELAYS 128

/**
 * skh_order_batch_count() - into how many batches an order to @n_ranks ranks is divided
 * Return: 0 if it is sent to each rank on its own.
 */
uint32_t skh_order_batch_count(uint32_t n_ranks);

/**
 * skh_order_batch_range() - get one of @n_batches batches of about the same size
 * @first: receives the position of the batch's first rank, from 0 to @n_ranks - 1
 * Return: number of ranks in the batch.
 */
uint32_t skh_order_batch_range(uint32_t n_ranks, uint32_t n_batches, uint32_t index,
			       uint32_t *first);

/**
 * skh_order_batch_pack() - append a batch to @out
 * @order: order as packed by skh_rankrelay_pack()
 * @relays: "address:port" of the relays that the receiver passes the order to, [@n_relays]
 */
void skh_order_batch_pack(skh_chunk_t order, const char *const *relays, size_t n_relays,
			  skh_buffer_t *out);

/**
 * skh_order_batch_unpack() - decode a batch
 * @order: set to the order, to free with g_bytes_unref()
 * @relays: set to the relays' addresses, to free with g_strfreev()
 * Return: false if @bytes is not a valid batch; nothing is set.
 */
bool skh_order_batch_unpack(skh_chunk_t bytes, GBytes **order, char ***relays);

/** skh_order_batch_pack_statuses() - append the HTTP status of each order, the receiver's first */
void skh_order_batch_pack_statuses(const uint32_t *statuses, size_t n, skh_buffer_t *out);

/**
 * skh_order_batch_unpack_statuses() - decode @n statuses to @statuses; 0 stands for no response
 * Return: false if @bytes does not have @n statuses.
 */
bool skh_order_batch_unpack_statuses(skh_chunk_t bytes, uint32_t *statuses, size_t n);

#ifdef __cplusplus
}
#endif
#endif
