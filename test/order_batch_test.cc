// Batches of a coordinator's orders: each rank is in one batch, and batches survive the wire.
#include "order_batch.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

TEST(OrderBatch, EachRankIsInOneBatch)
{
	for (uint32_t n_ranks :
	     { 1U, 12U, 23U, 24U, 63U, 72U, 129U, 257U, 1024U, 16384U, 50000U }) {
		uint32_t n_batches = skh_order_batch_count(n_ranks);
		uint32_t next = 0;

		if (n_ranks < SKH_ORDER_BATCH_MIN_RANKS) {
			EXPECT_EQ(n_batches, 0U);
			continue;
		}
		for (uint32_t i = 0; i < n_batches; i++) {
			uint32_t first = 0;
			uint32_t n = skh_order_batch_range(n_ranks, n_batches, i, &first);

			EXPECT_EQ(first, next);
			EXPECT_GE(n, 1U);
			EXPECT_LE(n, SKH_ORDER_BATCH_MAX_RELAYS) << n_ranks << " ranks";
			next = first + n;
		}
		EXPECT_EQ(next, n_ranks);
	}
}

TEST(OrderBatch, OrderAndRelaysSurviveTheWire)
{
	const std::string order = std::string("order\0with a zero", 17);
	const char *const relays[] = { "10.0.0.1:1", "10.0.0.2:2" };
	skh_buffer_t packed = SKH_BUFFER_INIT;
	GBytes *unpacked = nullptr;
	char **addresses = nullptr;

	skh_order_batch_pack(skh_chunk_make(order.data(), order.size()), relays, 2, &packed);
	ASSERT_TRUE(skh_order_batch_unpack(skh_buffer_chunk(&packed), &unpacked, &addresses));
	EXPECT_EQ(std::string(static_cast<const char *>(g_bytes_get_data(unpacked, nullptr)),
			      g_bytes_get_size(unpacked)),
		  order);
	EXPECT_STREQ(addresses[0], "10.0.0.1:1");
	EXPECT_STREQ(addresses[1], "10.0.0.2:2");
	EXPECT_EQ(addresses[2], nullptr);
	g_bytes_unref(unpacked);
	g_strfreev(addresses);
	skh_buffer_free(&packed);
}

TEST(OrderBatch, InvalidBatchesAreRejected)
{
	const std::vector<const char *> too_many(SKH_ORDER_BATCH_MAX_RELAYS + 1, "10.0.0.1:1");
	const std::string garbage = "\xff\xff\xff\xff";
	skh_buffer_t packed = SKH_BUFFER_INIT;
	GBytes *order = nullptr;
	char **relays = nullptr;

	skh_order_batch_pack(skh_chunk_make("", 0), too_many.data(), too_many.size(), &packed);
	EXPECT_FALSE(skh_order_batch_unpack(skh_buffer_chunk(&packed), &order, &relays));
	EXPECT_FALSE(skh_order_batch_unpack(skh_chunk_make(garbage.data(), garbage.size()), &order,
					    &relays));
	EXPECT_EQ(order, nullptr);
	skh_buffer_free(&packed);
}

TEST(OrderBatch, StatusesMustMatchTheBatch)
{
	const uint32_t statuses[] = { 202, 0, 409 };
	uint32_t read[3] = {};
	skh_buffer_t packed = SKH_BUFFER_INIT;

	skh_order_batch_pack_statuses(statuses, 3, &packed);
	EXPECT_TRUE(skh_order_batch_unpack_statuses(skh_buffer_chunk(&packed), read, 3));
	EXPECT_EQ(read[2], 409U);
	EXPECT_FALSE(skh_order_batch_unpack_statuses(skh_buffer_chunk(&packed), read, 2));
	EXPECT_FALSE(skh_order_batch_unpack_statuses(skh_chunk_make("x", 1), read, 3));
	skh_buffer_free(&packed);
}
