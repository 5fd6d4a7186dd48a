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

// Guards against requests in a region that is not allowed, through a value that was not understood.
TEST(Platform, AllowedRegionsAndColdTimesAreReadAndWrongValuesAreNamed)
{
	const std::string text = R"({"version":1,"services":[
		{"name":"s","cold-start-s":3.5,"cold-per-s":26},
		{"name":"t","cold-start-s":"long","cold-per-s":-1},{"name":"u"}],
		"routes":[
		{"name":"a","kind":"idempotent","host":"h","prefix":"/a","service":"s"},
		{"name":"b","kind":"idempotent","host":"h","prefix":"/b","service":"s",
		 "allowed-regions":["eu","us"]},
		{"name":"c","kind":"idempotent","host":"h","prefix":"/c","service":"s",
		 "allowed-regions":["eu",7]},
		{"name":"d","kind":"idempotent","host":"h","prefix":"/d","service":"s",
		 "allowed-regions":"eu"},
		{"name":"e","kind":"idempotent","host":"h","prefix":"/e","service":"s",
		 "allowed-regions":[]}],
		"tenants":[{"name":"x","api-keys":["k"],"allowed-regions":["us"]}]})";
	skh_error_t err;
	skh_routing_t *routing =
		find_dialect()->read_config(skh_chunk_make(text.data(), text.size()), &err);

	ASSERT_NE(routing, nullptr);
	auto allows = [&](const char *path, const char *region) {
		const skh_route_t *route = skh_routing_find_route(routing, "h", path);
		const skh_homes_t homes = { route->allowed_regions, nullptr };

		return skh_homes_allow(&homes, region);
	};
	EXPECT_TRUE(allows("/a", "eu") && allows("/a", nullptr) && allows("/e", "eu"));
	EXPECT_TRUE(allows("/b", "eu") && allows("/b", "us"));
	EXPECT_FALSE(allows("/b", "asia") || allows("/b", nullptr));
	EXPECT_TRUE(allows("/c", "eu"));
	EXPECT_FALSE(allows("/c", "us") || allows("/d", "eu"));
	const skh_key_owner_t *owner = skh_routing_find_key_owner(routing, "Bearer", "Bearer k");
	const skh_homes_t both = { skh_routing_find_route(routing, "h", "/b")->allowed_regions,
				   owner->allowed_regions };

	EXPECT_TRUE(skh_homes_allow(&both, "us"));
	EXPECT_FALSE(skh_homes_allow(&both, "eu"));
	EXPECT_EQ(skh_routing_get_service(routing, 0)->cold_start_us, 3500000);
	EXPECT_EQ(skh_routing_get_service(routing, 0)->cold_per_s, 26.0);
	EXPECT_EQ(skh_routing_get_service(routing, 1)->cold_start_us, 0);
	EXPECT_EQ(skh_routing_get_service(routing, 1)->cold_per_s, 0.0);
	EXPECT_EQ(skh_routing_get_service(routing, 2)->cold_start_us, 0);
	std::string warnings;
	for (guint i = 0; i < routing->warnings->len; i++)
		warnings +=
			std::string(static_cast<char *>(g_ptr_array_index(routing->warnings, i))) +
			"\n";
	EXPECT_EQ(warnings, "service \"t\": cold-start-s is not a number from 0 to 3600\n"
			    "service \"t\": cold-per-s is not a number from 0 to 1e+06\n"
			    "route \"c\": allowed-regions[1] is not a name\n"
			    "route \"d\": allowed-regions is not a list\n");
	skh_routing_free(routing);
}

} // namespace
