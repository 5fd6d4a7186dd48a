// What engines say on the users' platform, read into the product's own terms.
#include "dialect.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

const skh_dialect_t *dialect()
{
	skh_error_t err;

	return skh_dialect_find("fleet", &err);
}

struct Counts {
	skh_engine_counts_t counts = {};
	bool read;

	explicit Counts(const std::string &text)
	{
		skh_error_t err;

		read = dialect()->read_counts(skh_chunk_make(text.data(), text.size()), &counts,
					      &err);
	}
	~Counts()
	{
		g_free(counts.counts);
	}
};

TEST(Platform, CountsComeByPassAndSet)
{
	Counts one(R"({"step":812,"epoch":3,"counts":[[5120,88],[940,0.5]]})");

	ASSERT_TRUE(one.read);
	EXPECT_EQ(one.counts.pass, 812);
	EXPECT_EQ(one.counts.epoch, 3);
	ASSERT_EQ(one.counts.n, 4U);
	EXPECT_EQ(one.counts.counts[2], 940.0);
	EXPECT_EQ(one.counts.counts[3], 0.5);

	// One list for all sets; fields that mean nothing here.
	Counts two(R"({"counts":[1,2,3],"other":[7,[8]],"step":4,"epoch":1,"x":{"y":9}})");

	ASSERT_TRUE(two.read);
	EXPECT_EQ(two.counts.n, 3U);
	EXPECT_EQ(two.counts.pass, 4);
}

TEST(Platform, CountsThatCantBeReadAreSaidSo)
{
	for (const char *text : { "", "7", "[1,2]", "{}", R"({"counts":5})", R"({"counts":[1,2)",
				  R"({"counts":[1,2]} and more)", "\xff\xfe" }) {
		Counts counts(text);

		EXPECT_FALSE(counts.read) << text;
		EXPECT_EQ(counts.counts.counts, nullptr) << text;
	}
}

} // namespace
