// Frames from outside: what unpacks is safe, what is hostile is refused.
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

bool unpacks(const std::vector<uint8_t> &bytes, skh_error_kind_t *kind = nullptr)
{
	skh_error_t err = {};
	Skh__Frame *frame = skh_wire_unpack(skh_chunk_make(bytes.data(), bytes.size()), &err);
	const bool good = frame != nullptr;

	if (frame)
		skh_wire_free(frame);
	if (kind)
		*kind = err.kind;
	return good;
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

TEST(Wire, AFrameComesBackAsItWas)
{
	StartFrame out;
	const std::vector<uint8_t> bytes = pack(out.frame);
	skh_error_t err = {};
	Skh__Frame *in = skh_wire_unpack(skh_chunk_make(bytes.data(), bytes.size()), &err);

	ASSERT_NE(in, nullptr);
	EXPECT_EQ(in->start->attempt, 5U);
	EXPECT_STREQ(in->start->path, "/v1/completions");
	EXPECT_EQ(in->start->body.len, 4U);
	EXPECT_STREQ(in->start->customer, "");
	skh_wire_free(in);
}

TEST(Wire, AnotherVersionIsRefused)
{
	StartFrame out;
	skh_error_kind_t kind;

	out.frame.version = SKH_WIRE_VERSION + 1;
	EXPECT_FALSE(unpacks(pack(out.frame), &kind));
	EXPECT_EQ(kind, SKH_BAD_REQUEST);
}

TEST(Wire, AFieldOfANewerPeerIsIgnored)
{
	StartFrame out;
	std::vector<uint8_t> bytes = pack(out.frame);
	const std::vector<uint8_t> unknown = { 0xfa, 0x3f, 0x02, 'h', 'i' }; /* field 1023 */

	bytes.insert(bytes.end(), unknown.begin(), unknown.end());
	EXPECT_TRUE(unpacks(bytes));
}

TEST(Wire, EveryTruncationIsRefusedOrHarmless)
{
	StartFrame out;
	const std::vector<uint8_t> whole = pack(out.frame);

	for (size_t len = 0; len < whole.size(); len++) {
		std::vector<uint8_t> part(whole.begin(), whole.begin() + static_cast<long>(len));

		/* The version stands first, so a prefix may be an empty frame, never a Start. */
		skh_error_t err = {};
		Skh__Frame *frame = skh_wire_unpack(skh_chunk_make(part.data(), part.size()), &err);
		if (frame) {
			EXPECT_NE(frame->body_case, SKH__FRAME__BODY_START);
			skh_wire_free(frame);
		}
	}
}

TEST(Wire, OversizeNamesAndReservedNumbersAreRefused)
{
	StartFrame out;
	std::string name(SKH_WIRE_MAX_NAME_BYTES + 1, 'x');

	out.start.customer = name.data();
	EXPECT_FALSE(unpacks(pack(out.frame)));
	StartFrame zero;
	zero.start.attempt = 0;
	EXPECT_FALSE(unpacks(pack(zero.frame)));
	StartFrame reserved;
	reserved.start.attempt = SKH_WIRE_LOCAL_TRANSFER_BIT | 1;
	EXPECT_FALSE(unpacks(pack(reserved.frame)));
}

RC_GTEST_PROP(Wire, AnyBytesAreRefusedOrSafe, (const std::vector<uint8_t> &bytes))
{
	(void)unpacks(bytes);
}

RC_GTEST_PROP(Wire, AnyDamageIsRefusedOrSafe, ())
{
	StartFrame out;
	std::vector<uint8_t> bytes = pack(out.frame);

	for (int i = 0; i < 3; i++) {
		const auto at = *rc::gen::inRange<size_t>(0, bytes.size());

		bytes[at] = *rc::gen::arbitrary<uint8_t>();
	}
	(void)unpacks(bytes);
}

} // namespace
