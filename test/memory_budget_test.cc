// Tests of the memory for buffered bytes: one slow reader, many of them, and a budget that is used
// up. Guards against one caller that takes the room of the others, against a sum of small buffers
// that exceeds the limit, and against requests that wait for each other.
#include "memory_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace
{

constexpr int64_t kSmallestMemoryMb = 112;
constexpr size_t kPieceBytes = 4096;

// Readers that never read; a server writes pieces to each until it is held back.
struct SlowReaders {
	SlowReaders(skh_memory_budget_t *shared, size_t n) : budget(shared), held(n, 0)
	{
	}

	void fill()
	{
		bool has_grown = true;

		while (has_grown) {
			has_grown = false;
			for (size_t &bytes : held) {
				if (bytes > 0 && bytes > skh_memory_budget_connection_limit(budget))
					continue;
				bytes += kPieceBytes;
				skh_memory_budget_add(budget, SKH_MEMORY_TO_CALLERS, kPieceBytes);
				has_grown = true;
			}
		}
	}

	skh_memory_budget_t *budget;
	std::vector<size_t> held;
};

} // namespace

TEST(MemoryBudget, WithoutALimitEachConnectionHasTheFixedBound)
{
	skh_memory_budget_t budget = {};

	skh_memory_budget_add(&budget, SKH_MEMORY_TO_CALLERS, size_t{ 1 } << 40);
	EXPECT_EQ(skh_memory_budget_connection_limit(&budget), SKH_MEMORY_MAX_CONNECTION_BYTES);
	EXPECT_EQ(skh_memory_budget_connection_limit(nullptr), SKH_MEMORY_MAX_CONNECTION_BYTES);
	EXPECT_EQ(skh_memory_budget_response_limit(&budget), SKH_MEMORY_MAX_RESPONSE_BYTES);
	EXPECT_EQ(skh_memory_budget_read_size(&budget, 65536), 65536U);
	EXPECT_TRUE(skh_memory_budget_admits_request(&budget, size_t{ 1 } << 40));
	EXPECT_FALSE(skh_memory_budget_update_scarce(&budget));
}

TEST(MemoryBudget, OneSlowReaderHasTheFixedBound)
{
	skh_memory_budget_t budget = {};

	skh_memory_budget_set_limit(&budget, kSmallestMemoryMb);
	SlowReaders readers(&budget, 1);
	readers.fill();
	EXPECT_GE(readers.held[0], SKH_MEMORY_MAX_CONNECTION_BYTES);
	EXPECT_LE(readers.held[0], SKH_MEMORY_MAX_CONNECTION_BYTES + kPieceBytes);
}

TEST(MemoryBudget, ManySlowReadersStayWithinTheLimitAndLeaveRoom)
{
	for (size_t n : { 8U, 100U, 720U, 3000U }) {
		skh_memory_budget_t budget = {};

		skh_memory_budget_set_limit(&budget, kSmallestMemoryMb);
		SlowReaders readers(&budget, n);
		readers.fill();
		// Each reader may hold one piece beyond its part.
		EXPECT_LE(skh_memory_budget_used(&budget), budget.limit_bytes + n * kPieceBytes)
			<< n;
		for (size_t bytes : readers.held) {
			EXPECT_GE(bytes, kPieceBytes) << n;
			// None has more than a piece more than any other.
			EXPECT_LE(bytes, readers.held[0] + kPieceBytes) << n;
		}
	}
}

TEST(MemoryBudget, AReaderThatCameFirstGivesWayToTheOthers)
{
	skh_memory_budget_t budget = {};

	skh_memory_budget_set_limit(&budget, 16);
	SlowReaders first(&budget, 1);
	first.fill();
	size_t alone = first.held[0];
	SlowReaders others(&budget, 200);
	others.fill();
	EXPECT_GT(alone, skh_memory_budget_connection_limit(&budget));
	EXPECT_GE(others.held[199], kPieceBytes);
}

TEST(MemoryBudget, RequestsAreAdmittedWholeUpToHalfOfTheLimit)
{
	skh_memory_budget_t budget = {};
	size_t half;

	skh_memory_budget_set_limit(&budget, kSmallestMemoryMb);
	half = budget.limit_bytes / 2;
	EXPECT_TRUE(skh_memory_budget_admits_request(&budget, budget.limit_bytes * 2));
	skh_memory_budget_add(&budget, SKH_MEMORY_REQUESTS, half - 100);
	EXPECT_TRUE(skh_memory_budget_admits_request(&budget, 100));
	EXPECT_FALSE(skh_memory_budget_admits_request(&budget, 101));
	EXPECT_FALSE(skh_memory_budget_admits_request(&budget, SIZE_MAX));
	skh_memory_budget_remove(&budget, SKH_MEMORY_REQUESTS, half - 100);
	EXPECT_TRUE(skh_memory_budget_admits_request(&budget, SIZE_MAX));
}

TEST(MemoryBudget, ScarcityIsReportedOnceAndWithHysteresis)
{
	skh_memory_budget_t budget = {};

	skh_memory_budget_set_limit(&budget, kSmallestMemoryMb);
	skh_memory_budget_add(&budget, SKH_MEMORY_UNREAD, budget.limit_bytes / 4 * 3);
	EXPECT_TRUE(skh_memory_budget_update_scarce(&budget));
	EXPECT_TRUE(budget.is_scarce);
	skh_memory_budget_remove(&budget, SKH_MEMORY_UNREAD, budget.limit_bytes / 8);
	EXPECT_FALSE(skh_memory_budget_update_scarce(&budget));
	skh_memory_budget_remove(&budget, SKH_MEMORY_UNREAD, budget.limit_bytes / 4);
	EXPECT_TRUE(skh_memory_budget_update_scarce(&budget));
	EXPECT_FALSE(budget.is_scarce);
}
