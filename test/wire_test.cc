// Unpacking of frames from other processes: truncated, damaged or malicious
// input must be rejected or give a frame whose fields are safe to use.
#include "wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
