// Unpacking of frames from other processes: truncated, damaged or malicious
// input must be rejected or give a frame whose fields are safe to use.
#include "wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

std::vector<uint8_t> pack(const Skh__Frame &frame)
{
	skh_buffer_t buffer = SKH_BUFFER_INIT;

	skh_wire_pack(&frame, &buffer);
	std::vector<uint8_t> bytes(buffer.data, buffer.data + buffer.len);
	skh_buffer_free(&buffer);
	return bytes;
}

bool can_unpack(const std::vector<uint8_t> &bytes, skh_error_kind_t *kind = nullptr)
{
	skh_error_t err = {};
	Skh__Frame *frame = skh_wire_unpack(skh_chunk_make(bytes.data(), bytes.size()), &err);
	const bool is_valid = frame != nullptr;

	if (frame)
		skh_wire_free(frame);
	if (kind)
		*kind = err.kind;
	return is_valid;
}

struct StartFrame {
	StartFrame()
	{
		start.attempt = 5;
		start.path = path;
		start.body = { sizeof(body), body };
		frame.version = SKH_WIRE_VERSION;
		frame.body_case = SKH__FRAME__BODY_START;
		frame.start = &start;
	}

	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Start start = SKH__START__INIT;
	char path[16] = "/v1/completions";
	uint8_t body[4] = { 1, 2, 3, 4 };
};

TEST(Wire, FrameSurvivesPackingAndUnpacking)
{
	StartFrame sent;
	const std::vector<uint8_t> bytes = pack(sent.frame);
	skh_error_t err = {};
	Skh__Frame *received = skh_wire_unpack(skh_chunk_make(bytes.data(), bytes.size()), &err);

	ASSERT_NE(received, nullptr);
	EXPECT_EQ(received->start->attempt, 5U);
	EXPECT_STREQ(received->start->path, "/v1/completions");
	EXPECT_EQ(received->start->body.len, 4U);
	EXPECT_STREQ(received->start->customer, "");
	skh_wire_free(received);
}

TEST(Wire, RejectsAnotherVersion)
{
	StartFrame sent;
	skh_error_kind_t kind;

	sent.frame.version = SKH_WIRE_VERSION + 1;
	EXPECT_FALSE(can_unpack(pack(sent.frame), &kind));
	EXPECT_EQ(kind, SKH_BAD_REQUEST);
}

TEST(Wire, IgnoresFieldsOfNewerPeers)
{
	StartFrame sent;
	std::vector<uint8_t> bytes = pack(sent.frame);
	const std::vector<uint8_t> unknown_field = { 0xfa, 0x3f, 0x02, 'h', 'i' }; /* field 1023 */

	bytes.insert(bytes.end(), unknown_field.begin(), unknown_field.end());
	EXPECT_TRUE(can_unpack(bytes));
}

TEST(Wire, TruncatedFrameNeverBecomesAStart)
{
	StartFrame sent;
	const std::vector<uint8_t> packed = pack(sent.frame);

	for (size_t len = 0; len < packed.size(); len++) {
		std::vector<uint8_t> prefix(packed.begin(),
					    packed.begin() + static_cast<long>(len));

		/* The version is packed first, so a prefix may unpack, but only without a body. */
		skh_error_t err = {};
		Skh__Frame *frame =
			skh_wire_unpack(skh_chunk_make(prefix.data(), prefix.size()), &err);
		if (frame) {
			EXPECT_NE(frame->body_case, SKH__FRAME__BODY_START);
			skh_wire_free(frame);
		}
	}
}

TEST(Wire, RejectsOversizeNamesAndReservedAttemptIds)
{
	StartFrame sent;
	std::string name(SKH_WIRE_MAX_NAME_BYTES + 1, 'x');

	sent.start.customer = name.data();
	EXPECT_FALSE(can_unpack(pack(sent.frame)));
	StartFrame zero_attempt;
	zero_attempt.start.attempt = 0;
	EXPECT_FALSE(can_unpack(pack(zero_attempt.frame)));
	StartFrame reserved_attempt;
	reserved_attempt.start.attempt = SKH_WIRE_LOCAL_ID_BIT | 1;
	EXPECT_FALSE(can_unpack(pack(reserved_attempt.frame)));
}

std::vector<uint8_t> with_zero_byte(std::vector<uint8_t> bytes, const std::string &text)
{
	auto found = std::search(bytes.begin(), bytes.end(), text.begin(), text.end());

	EXPECT_NE(found, bytes.end());
	found[static_cast<long>(text.size()) / 2] = 0;
	return bytes;
}

// "abc" with a zero byte in its middle was read as "a" and passed for it.
TEST(Wire, TextsWithAZeroByteAreNotReadAsShorterOnes)
{
	char name[] = "abc";
	StartFrame sent;

	sent.start.customer = name;
	EXPECT_TRUE(can_unpack(pack(sent.frame)));
	EXPECT_FALSE(can_unpack(with_zero_byte(pack(sent.frame), name)));

	Skh__RankReport report = SKH__RANK_REPORT__INIT;
	std::vector<uint8_t> bytes;

	report.group = name;
	report.epoch = 3;
	bytes.resize(skh__rank_report__get_packed_size(&report));
	skh__rank_report__pack(&report, bytes.data());
	for (const auto &packed : { bytes, with_zero_byte(bytes, name) }) {
		Skh__RankReport *read =
			skh__rank_report__unpack(nullptr, packed.size(), packed.data());

		ASSERT_NE(read, nullptr);
		EXPECT_EQ(skh_wire_is_whole(&read->base, packed.size()), packed == bytes);
		skh__rank_report__free_unpacked(read, nullptr);
	}
}

// Peers whose ids are given out by ZeroMQ, which begin with a zero byte, all had the id "".
TEST(Wire, IdsOfPeersAreReadWholeOrNotAtAll)
{
	char id[5] = { 'a', 'b', 'c', 'x', 'x' };
	char with_zero[5] = { 'a', 0, 'c', 'x', 'x' };

	EXPECT_TRUE(skh_wire_terminate_id(id, sizeof(id), 3));
	EXPECT_STREQ(id, "abc");
	EXPECT_FALSE(skh_wire_terminate_id(id, sizeof(id), 5));
	EXPECT_FALSE(skh_wire_terminate_id(with_zero, sizeof(with_zero), 3));
}

RC_GTEST_PROP(Wire, RejectsOrSafelyUnpacksAnyBytes, (const std::vector<uint8_t> &bytes))
{
	(void)can_unpack(bytes);
}

RC_GTEST_PROP(Wire, RejectsOrSafelyUnpacksDamagedFrames, ())
{
	StartFrame sent;
	std::vector<uint8_t> bytes = pack(sent.frame);

	for (int i = 0; i < 3; i++) {
		const auto offset = *rc::gen::inRange<size_t>(0, bytes.size());

		bytes[offset] = *rc::gen::arbitrary<uint8_t>();
	}
	(void)can_unpack(bytes);
}

} // namespace
