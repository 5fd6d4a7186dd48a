#include "order_batch.h"

#include "wire.h"

#include <math.h>
#include <string.h>

uint32_t skh_order_batch_count(uint32_t n_ranks)
{
	uint32_t n_batches = (uint32_t)ceil(sqrt((double)n_ranks));

	if (n_ranks < SKH_ORDER_BATCH_MIN_RANKS)
		return 0;
	return MAX(n_batches, n_ranks / SKH_ORDER_BATCH_MAX_RELAYS + 1);
}

uint32_t skh_order_batch_range(uint32_t n_ranks, uint32_t n_batches, uint32_t index,
			       uint32_t *first)
{
	uint32_t next = (uint32_t)((uint64_t)n_ranks * (index + 1) / n_batches);

	*first = (uint32_t)((uint64_t)n_ranks * index / n_batches);
	return next - *first;
}

void skh_order_batch_pack(skh_chunk_t order, const char *const *relays, size_t n_relays,
			  skh_buffer_t *out)
{
	Skh__OrderBatch message = SKH__ORDER_BATCH__INIT;

	message.order = (ProtobufCBinaryData){ order.len, (uint8_t *)order.data };
	message.n_relays = n_relays;
	message.relays = (char **)relays;
	(void)skh__order_batch__pack(
		&message, skh_buffer_extend(out, skh__order_batch__get_packed_size(&message)));
}

bool skh_order_batch_unpack(skh_chunk_t bytes, GBytes **order, char ***relays)
{
	Skh__OrderBatch *message = skh__order_batch__unpack(NULL, bytes.len, bytes.data);
	bool is_valid = message && message->n_relays <= SKH_ORDER_BATCH_MAX_RELAYS &&
			skh_wire_is_whole(&message->base, bytes.len);

	if (is_valid) {
		*order = g_bytes_new(message->order.data, message->order.len);
		*relays = g_new0(char *, message->n_relays + 1);
		for (size_t i = 0; i < message->n_relays; i++)
			(*relays)[i] = g_strdup(message->relays[i]);
	}
	if (message)
		skh__order_batch__free_unpacked(message, NULL);
	return is_valid;
}

void skh_order_batch_pack_statuses(const uint32_t *statuses, size_t n, skh_buffer_t *out)
{
	Skh__OrderStatuses message = SKH__ORDER_STATUSES__INIT;

	message.n_statuses = n;
	message.statuses = (uint32_t *)statuses;
	(void)skh__order_statuses__pack(
		&message, skh_buffer_extend(out, skh__order_statuses__get_packed_size(&message)));
}

bool skh_order_batch_unpack_statuses(skh_chunk_t bytes, uint32_t *statuses, size_t n)
{
	Skh__OrderStatuses *message = skh__order_statuses__unpack(NULL, bytes.len, bytes.data);
	bool is_valid = message && message->n_statuses == n;

	if (is_valid)
		memcpy(statuses, message->statuses, n * sizeof(*statuses));
	if (message)
		skh__order_statuses__free_unpacked(message, NULL);
	return is_valid;
}
