// Guards against misread expert counts in the platform's engine format.
#include "dialect.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

const skh_dialect_t *find_dialect()
{
	skh_error_t err;

	return skh_dialect_find("fleet", &err);
}

struct Counts {
	skh_engine_counts_t counts = {};
	bool is_valid;

	explicit Counts(const std::string &text)
	{
		skh_error_t err;

		is_valid = find_dialect()->read_counts(skh_chunk_make(text.data(), text.size()),
						       &counts, &err);
	}
	~Counts()
	{
		g_free(counts.counts);
	}
};

TEST(Platform, CountsAreReadByPassAndSet)
{
	Counts by_set(R"({"step":812,"epoch":3,"counts":[[5120,88],[940,0.5]]})");

	ASSERT_TRUE(by_set.is_valid);
	EXPECT_EQ(by_set.counts.pass, 812);
	EXPECT_EQ(by_set.counts.epoch, 3);
	ASSERT_EQ(by_set.counts.n, 4U);
	EXPECT_EQ(by_set.counts.counts[2], 940.0);
	EXPECT_EQ(by_set.counts.counts[3], 0.5);

	// One list for all sets, among unknown fields.
	Counts flat(R"({"counts":[1,2,3],"other":[7,[8]],"step":4,"epoch":1,"x":{"y":9}})");

	ASSERT_TRUE(flat.is_valid);
	EXPECT_EQ(flat.counts.n, 3U);
	EXPECT_EQ(flat.counts.pass, 4);
}

TEST(Platform, InvalidCountsAreRejected)
{
	for (const char *text : { "", "7", "[1,2]", "{}", R"({"counts":5})", R"({"counts":[1,2)",
				  R"({"counts":[1,2]} and more)", "\xff\xfe" }) {
		Counts counts(text);

		EXPECT_FALSE(counts.is_valid) << text;
		EXPECT_EQ(counts.counts.counts, nullptr) << text;
	}
}

} // namespace
