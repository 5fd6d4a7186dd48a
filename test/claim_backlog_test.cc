// Claims that an outage of the key-value service left open are closed later; a record of another
// owner is never overwritten.
#include "claim_backlog.h"

#include "clock.h"
#include "wire.h"

#include <glib.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace
{

constexpr int64_t kLater_us = 60 * SKH_US_PER_S;

using BacklogPtr = std::unique_ptr<skh_claim_backlog_t, decltype(&skh_claim_backlog_free)>;

std::string encode_claim(const char *owner, skh_claim_state_t state)
{
	skh_claim_t claim = {};

	claim.state = state;
	claim.owner = g_strdup(owner);
	char *encoded = skh_claim_encode(&claim);
	std::string result = encoded;
	g_free(encoded);
	skh_claim_clear(&claim);
	return result;
}

class ClaimBacklog : public testing::Test
{
      protected:
	void add(const char *owner, int64_t expected_revision)
	{
		skh_claim_t claim = {};

		claim.state = SKH_CLAIM_NOT_RUN;
		claim.owner = g_strdup(owner);
		skh_claim_backlog_add(backlog.get(), "/claims/k", &claim, expected_revision, 0);
		skh_claim_clear(&claim);
	}

	BacklogPtr backlog{ skh_claim_backlog_new(), skh_claim_backlog_free };
	skh_claim_backlog_write_t write = {};
};

TEST_F(ClaimBacklog, RetriesAfterADelayWithOneWriteInFlight)
{
	add("me", 7);
	EXPECT_FALSE(skh_claim_backlog_next_due(backlog.get(), 1, &write));
	ASSERT_TRUE(skh_claim_backlog_next_due(backlog.get(), kLater_us, &write));
	EXPECT_EQ(7, write.expected_revision);
	EXPECT_STREQ("/claims/k", write.store_key);
	EXPECT_NE(0u, write.id & SKH_WIRE_LOCAL_ID_BIT);
	EXPECT_FALSE(skh_claim_backlog_next_due(backlog.get(), 2 * kLater_us, &write));
	skh_claim_backlog_mark_failed(backlog.get(), write.id, 2 * kLater_us);
	EXPECT_FALSE(skh_claim_backlog_next_due(backlog.get(), 2 * kLater_us, &write));
	ASSERT_TRUE(skh_claim_backlog_next_due(backlog.get(), 3 * kLater_us, &write));
	skh_claim_backlog_mark_written(backlog.get(), write.id);
	EXPECT_EQ(0u, skh_claim_backlog_count(backlog.get()));
}

TEST_F(ClaimBacklog, OverwritesOnlyARecordOfTheSameOwner)
{
	add("me", 0);
	ASSERT_TRUE(skh_claim_backlog_next_due(backlog.get(), kLater_us, &write));
	skh_claim_backlog_resolve_conflict(backlog.get(), write.id,
					   encode_claim("me", SKH_CLAIM_CLAIMED).c_str(), 9,
					   kLater_us);
	ASSERT_TRUE(skh_claim_backlog_next_due(backlog.get(), kLater_us, &write));
	EXPECT_EQ(9, write.expected_revision);
	skh_claim_backlog_resolve_conflict(backlog.get(), write.id,
					   encode_claim("other", SKH_CLAIM_CLAIMED).c_str(), 11,
					   kLater_us);
	EXPECT_EQ(0u, skh_claim_backlog_count(backlog.get()));
}

TEST_F(ClaimBacklog, DropsTheWriteWhenTheClaimIsClosed)
{
	for (skh_claim_state_t state : { SKH_CLAIM_DONE, SKH_CLAIM_NOT_RUN }) {
		add("me", 0);
		ASSERT_TRUE(skh_claim_backlog_next_due(backlog.get(), kLater_us, &write));
		skh_claim_backlog_resolve_conflict(backlog.get(), write.id,
						   encode_claim("me", state).c_str(), 9, kLater_us);
		EXPECT_EQ(0u, skh_claim_backlog_count(backlog.get()));
	}
}

TEST_F(ClaimBacklog, DropsTheWriteWhenTheKeyIsTooOld)
{
	add("me", 0);
	EXPECT_FALSE(skh_claim_backlog_next_due(
		backlog.get(), SKH_CLAIM_MAX_KEY_AGE_MS * SKH_US_PER_MS + kLater_us, &write));
	EXPECT_EQ(0u, skh_claim_backlog_count(backlog.get()));
}

} // namespace
