// Claim records, the decisions made from them, and batches of writes whose
// responses are lost. A wrong decision or a wrongly reported write would let a
// non-idempotent request run twice.
#include "batch.h"
#include "claim.h"
#include "fake_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace
{

constexpr int64_t kNowMs = 1764800000000;

std::string make_key(int64_t unix_ms)
{
	char text[64];

	(void)g_snprintf(text, sizeof(text), "%08x-%04x-7abc-8def-0123456789ab",
			 static_cast<unsigned>(unix_ms >> 16),
			 static_cast<unsigned>(unix_ms & 0xffff));
	return text;
}

skh_error_kind_t check_key(const std::string &key)
{
	skh_error_t err = {};

	return skh_claim_check_key(key.c_str(), kNowMs, &err) ? SKH_OK : err.kind;
}

TEST(Claim, AcceptsOnlyKeysWithinTheMaximumAge)
{
	EXPECT_EQ(check_key(make_key(kNowMs)), SKH_OK);
	EXPECT_EQ(check_key(make_key(kNowMs - SKH_CLAIM_MAX_KEY_AGE_MS)), SKH_OK);
	EXPECT_EQ(check_key(make_key(kNowMs - SKH_CLAIM_MAX_KEY_AGE_MS - 1)), SKH_KEY_EXPIRED);
	EXPECT_EQ(check_key(make_key(kNowMs + 2 * SKH_CLAIM_MAX_CLOCK_SKEW_MS)), SKH_BAD_REQUEST);
	EXPECT_EQ(check_key("sale-1"), SKH_BAD_REQUEST);
	EXPECT_EQ(check_key("01234567-89ab-4abc-8def-0123456789ab"), SKH_BAD_REQUEST);
	EXPECT_EQ(check_key("01234567-89ab-7abc-8def-0123456789aZ"), SKH_BAD_REQUEST);
}

TEST(Claim, RecordSurvivesEncodingAndDecoding)
{
	skh_claim_t claim = {};
	skh_claim_t decoded = {};
	skh_error_t err = {};
	const std::string bytes("\0\x01\xff sold", 8);

	claim.state = SKH_CLAIM_DONE;
	claim.owner = g_strdup("me");
	claim.content_hash = 0xfedcba9876543210U;
	claim.status = 201;
	claim.content_type = g_strdup("application/json");
	claim.has_response = true;
	skh_buffer_append(&claim.response, skh_chunk_make(bytes.data(), bytes.size()));
	char *text = skh_claim_encode(&claim);
	ASSERT_TRUE(skh_claim_decode(text, &decoded, &err));
	EXPECT_EQ(decoded.state, SKH_CLAIM_DONE);
	EXPECT_EQ(decoded.content_hash, claim.content_hash);
	EXPECT_EQ(decoded.status, 201);
	EXPECT_EQ(
		std::string(reinterpret_cast<char *>(decoded.response.data), decoded.response.len),
		bytes);
	g_free(text);
	skh_claim_clear(&claim);
	skh_claim_clear(&decoded);
}

TEST(Claim, MalformedRecordMeansOutcomeUnknown)
{
	skh_claim_t claim = {};
	skh_error_t err = {};

	EXPECT_FALSE(skh_claim_decode("{\"state\":\"maybe\"}", &claim, &err));
	EXPECT_EQ(err.run_state, SKH_RUN_UNKNOWN);
}

TEST(Claim, OnlyANotRunRecordMayBeReplaced)
{
	char owner[] = "other";
	skh_claim_t found = {};

	found.owner = owner;
	found.content_hash = 5;
	found.state = SKH_CLAIM_CLAIMED;
	EXPECT_EQ(skh_claim_decide(&found, "me", 5), SKH_CLAIM_DECISION_OUTCOME_UNKNOWN);
	EXPECT_EQ(skh_claim_decide(&found, "me", 6), SKH_CLAIM_DECISION_KEY_REUSED);
	EXPECT_EQ(skh_claim_decide(&found, "other", 5), SKH_CLAIM_DECISION_OWN_CLAIM);
	found.state = SKH_CLAIM_DONE;
	EXPECT_EQ(skh_claim_decide(&found, "me", 5), SKH_CLAIM_DECISION_REPLAY);
	found.state = SKH_CLAIM_NOT_RUN;
	EXPECT_EQ(skh_claim_decide(&found, "me", 5), SKH_CLAIM_DECISION_REPLACE);
	EXPECT_EQ(skh_claim_decide(&found, "me", 6), SKH_CLAIM_DECISION_KEY_REUSED);
}

struct WriteList {
	explicit WriteList(size_t n, const std::string &owner) : list(n)
	{
		for (size_t i = 0; i < n; i++) {
			keys.push_back("k" + std::to_string(i));
			values.push_back(owner + std::to_string(i));
		}
		for (size_t i = 0; i < n; i++) {
			list[i] = {};
			list[i].key = keys[i].c_str();
			list[i].value = values[i].c_str();
		}
	}

	~WriteList()
	{
		for (auto &write : list)
			g_free(write.found_value);
	}

	std::vector<std::string> keys;
	std::vector<std::string> values;
	std::vector<skh_write_t> list;
};

TEST(Batch, WritesManyClaimsInOneTransaction)
{
	FakeStore store;
	WriteList writes(SKH_BATCH_MAX_WRITES, "a");

	skh_batch_run(&store.base, writes.list.data(), writes.list.size());
	EXPECT_EQ(store.n_txns, 1);
	for (const auto &write : writes.list)
		EXPECT_EQ(write.state, SKH_WRITE_DONE);
}

TEST(Batch, ConflictDoesNotFailTheOtherWrites)
{
	FakeStore store;
	WriteList rival(1, "rival");
	WriteList writes(8, "a");

	skh_batch_run(&store.base, rival.list.data(), 1);
	skh_batch_run(&store.base, writes.list.data(), writes.list.size());
	EXPECT_EQ(writes.list[0].state, SKH_WRITE_CONFLICT);
	EXPECT_STREQ(writes.list[0].found_value, "rival0");
	for (size_t i = 1; i < 8; i++)
		EXPECT_EQ(writes.list[i].state, SKH_WRITE_DONE);
}

TEST(Batch, ReadsBackAfterALostResponse)
{
	FakeStore store;
	WriteList writes(4, "a");

	store.lose_response_of_txn = 1;
	skh_batch_run(&store.base, writes.list.data(), writes.list.size());
	for (const auto &write : writes.list)
		EXPECT_EQ(write.state, SKH_WRITE_DONE);
	EXPECT_EQ(store.n_txns, 2);
}

TEST(Batch, RetriesADroppedTransaction)
{
	FakeStore store;
	WriteList writes(4, "a");

	store.drop_txn = 1;
	skh_batch_run(&store.base, writes.list.data(), writes.list.size());
	for (const auto &write : writes.list)
		EXPECT_EQ(write.state, SKH_WRITE_DONE);
}

TEST(Batch, LostResponseDuringAnOutageStaysUnknown)
{
	FakeStore store;
	WriteList writes(2, "a");

	store.lose_response_of_txn = 1;
	store.is_down_after_loss = true;
	skh_batch_run(&store.base, writes.list.data(), writes.list.size());
	for (const auto &write : writes.list) {
		EXPECT_EQ(write.state, SKH_WRITE_FAILED);
		EXPECT_EQ(write.err.kind, SKH_STORE_UNKNOWN);
	}
}

TEST(Batch, OutageMeansNothingWasStored)
{
	FakeStore store;
	WriteList writes(2, "a");

	store.is_down = true;
	skh_batch_run(&store.base, writes.list.data(), writes.list.size());
	for (const auto &write : writes.list)
		EXPECT_EQ(write.err.kind, SKH_STORE_UNAVAILABLE);
	EXPECT_TRUE(store.values.empty());
}

// Compares batches with a map of the writes that were reported as done:
// whichever responses or transactions are lost, at most one write of each key
// is reported as done, and conflicts and the store show the value of this write.
RC_GTEST_PROP(Batch, EachKeyHasOneWinnerWhateverIsLost, ())
{
	FakeStore store;
	std::map<std::string, std::string> winners;

	for (int round = 0; round < 12; round++) {
		const size_t n = *rc::gen::inRange(1, 6);
		WriteList writes(n, "r" + std::to_string(round) + "-");

		store.lose_response_of_txn = *rc::gen::inRange(0, 3) == 0 ? store.n_txns + 1 : 0;
		store.drop_txn = *rc::gen::inRange(0, 3) == 0 ? store.n_txns + 1 : 0;
		skh_batch_run(&store.base, writes.list.data(), n);
		for (size_t i = 0; i < n; i++) {
			const skh_write_t &write = writes.list[i];

			if (write.state == SKH_WRITE_DONE)
				RC_ASSERT(winners.emplace(write.key, write.value).second);
			if (write.state == SKH_WRITE_CONFLICT)
				RC_ASSERT(winners.at(write.key) == write.found_value);
			RC_ASSERT(write.state != SKH_WRITE_PENDING);
		}
	}
	for (const auto &[key, value] : winners)
		RC_ASSERT(store.values.at(key).value == value);
}

} // namespace
