// Guards against misread reports, expert counts and expert maps in the platform's engine format, and
// against numbers that are used unchecked: engines may send any bytes.
#include "dialect.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

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
	const std::string deep = R"({"counts":)" + std::string(5000, '[');

	for (const char *text :
	     { "", "7", "[1,2]", "{}", R"({"counts":5})", R"({"counts":[1,2)",
	       R"({"counts":[1,2]} and more)", "\xff\xfe", R"({"counts":[[[1]]]})",
	       R"({"counts":[1,-2]})", R"({"counts":[1e300]})", R"({"counts":[1e999]})",
	       R"({"step":1e300,"counts":[1]})", R"({"epoch":-1,"counts":[1]})",
	       R"({"epoch":1.5,"counts":[1]})", deep.c_str() }) {
		Counts counts(text);

		EXPECT_FALSE(counts.is_valid) << text;
		EXPECT_EQ(counts.counts.counts, nullptr) << text;
	}
}

struct Report {
	skh_engine_report_t report;
	skh_error_t err = {};
	bool is_valid;

	explicit Report(const std::string &text)
	{
		is_valid = find_dialect()->read_report(skh_chunk_make(text.data(), text.size()),
						       &report, &err);
	}
};

TEST(Platform, ReportsAreReadWithAndWithoutAGroup)
{
	Report grouped(R"({"group":{"name":"g","epoch":3,"rank":2,"state":"open"},"size":4,
		"step":81,"mapping":7,"prepared":{"version":9,"experts":[]},"armed":null,"held":82,
		"pace":1.5,"sequence":5})");

	ASSERT_TRUE(grouped.is_valid) << grouped.err.text;
	EXPECT_TRUE(grouped.report.is_group_open);
	EXPECT_EQ(grouped.report.rank, 2U);
	EXPECT_EQ(grouped.report.group_size, 4U);
	EXPECT_EQ(grouped.report.epoch, 3);
	EXPECT_EQ(grouped.report.pass, 81);
	EXPECT_EQ(grouped.report.map_version, 7);
	EXPECT_EQ(grouped.report.prepared_version, 9);
	EXPECT_EQ(grouped.report.armed_version, 0);
	EXPECT_EQ(grouped.report.held_pass, 82);
	EXPECT_EQ(grouped.report.slowdown, 1.5);

	Report alone(R"({"phase":"unified","busy":false})");

	ASSERT_TRUE(alone.is_valid) << alone.err.text;
	EXPECT_FALSE(alone.report.is_in_group);
	EXPECT_EQ(alone.report.slowdown, 1.0);
	/* The platform names a group before it has a size. */
	EXPECT_TRUE(Report(R"({"group":{"name":"g","epoch":0,"rank":3}})").is_valid);
}

std::string report_of_group(const std::string &name)
{
	return R"({"group":{"name":")" + name +
	       R"(","epoch":3,"rank":2,"state":"open"},"size":4,"step":81})";
}

// Names used to be cut after 63 bytes, so that two groups passed for one and their ranks got different
// maps (review case 12).
TEST(Platform, GroupNamesThatAgreeInTheirFirstBytesStayApart)
{
	for (size_t common : { 62U, 63U, 64U, 127U, 128U, 199U }) {
		const std::string begin(common, 'g');
		Report a(report_of_group(begin + "a"));
		Report b(report_of_group(begin + "b"));

		ASSERT_TRUE(a.is_valid && b.is_valid) << common;
		EXPECT_TRUE(a.report.is_in_group && b.report.is_in_group) << common;
		EXPECT_EQ(std::string(a.report.group), begin + "a");
		EXPECT_EQ(std::string(b.report.group), begin + "b");
	}
}

// Guards against a name that is cut off, or that ends early at a zero byte, and against a report
// that is lost because of its group's name.
TEST(Platform, GroupNamesThatCannotBeUsedNameNoGroup)
{
	for (const std::string &name :
	     { std::string(), std::string(201, 'g'), std::string(300, 'g'), std::string("g\\u0000"),
	       std::string("\\u0000"), std::string("g\\u0000x") }) {
		Report report(report_of_group(name));

		ASSERT_TRUE(report.is_valid) << name << report.err.text;
		EXPECT_FALSE(report.report.is_in_group) << name;
		EXPECT_TRUE(report.report.has_unusable_group) << name;
		EXPECT_STREQ(report.report.group, "") << name;
		EXPECT_EQ(report.report.pass, 81) << name;
	}
	Report alone(R"({"phase":"unified"})");

	EXPECT_FALSE(alone.report.has_unusable_group);
}

// A rank of 4294967298 used to be rank 2, and a version of 1e300 was undefined behaviour.
TEST(Platform, ReportsWithNumbersOutOfRangeAreRejected)
{
	const std::pair<const char *, const char *> cases[] = {
		{ R"({"group":{"name":"g","epoch":1,"rank":4294967298,"size":4}})", "group" },
		{ R"({"group":{"name":"g","epoch":1,"rank":4,"size":4}})", "group" },
		{ R"({"group":{"name":"g","epoch":1,"rank":-1,"size":4}})", "group" },
		{ R"({"group":{"name":"g","epoch":1,"size":4}})", "group" },
		{ R"({"group":{"name":"g","rank":1,"size":4}})", "group" },
		{ R"({"group":{"name":"g","epoch":1e300,"rank":1},"size":4})", "group" },
		{ R"({"group":{"name":"g","epoch":1,"rank":1},"size":-4})", "group" },
		{ R"({"step":-1})", "step" },
		{ R"({"mapping":1e300})", "mapping" },
		{ R"({"prepared":{"version":0.5}})", "prepared" },
		{ R"({"armed":-7})", "armed" },
		{ R"({"held":9007199254740994})", "held" },
		{ R"({"sequence":-1})", "sequence" },
		{ R"({"pace":0})", "pace" },
		{ R"({"pace":-1.0})", "pace" },
		{ R"({"pace":1e9})", "pace" },
	};

	for (const auto &[text, field] : cases) {
		Report report(text);

		EXPECT_FALSE(report.is_valid) << text;
		EXPECT_NE(std::string(report.err.text).find(field), std::string::npos) << text;
	}
	EXPECT_FALSE(Report(std::string(5000, '[')).is_valid);
}

// Two sets of four experts, two slots: expert + 1 by set and slot, or an empty list if it is invalid.
std::vector<uint32_t> read_map(const std::string &text)
{
	skh_engine_spec_t spec = {};
	std::vector<uint32_t> map(4, 99);
	int64_t version;
	skh_error_t err;

	spec.expert_sets = 2;
	spec.experts_per_set = 4;
	spec.slots_per_rank = 2;
	if (!find_dialect()->read_map(skh_chunk_make(text.data(), text.size()), &spec, map.data(),
				      &version, &err))
		map.clear();
	return map;
}

// An expert beyond the last one ended the coordinator's process, which counts replicas by expert.
TEST(Platform, MapsWithUnknownOrRepeatedExpertsAreRejected)
{
	EXPECT_EQ(read_map(R"({"mapping":{"version":7,"experts":[[0,3],[2]]}})"),
		  (std::vector<uint32_t>{ 1, 4, 3, 0 }));
	for (const char *experts :
	     { "[[0,4],[2]]", "[[0,777777777],[2]]", "[[0,-1],[2]]", "[[0,4294967296],[2]]",
	       "[[0,1.0],[2]]", "[[0,\"1\"],[2]]", "[[0,[1]],[2]]", "[[0,0],[2]]", "[[0,1,2],[3]]",
	       "[[0,1]]", "[[0],[1],[2]]", "[0,1]", "7" }) {
		EXPECT_TRUE(read_map(std::string(R"({"mapping":{"version":7,"experts":)") +
				     experts + "}}")
				    .empty())
			<< experts;
	}
	EXPECT_TRUE(read_map(R"({"mapping":{"version":-1,"experts":[[0,3],[2]]}})").empty());
}

std::string make_entry(const std::string &slots, const std::string &address,
		       const std::string &more = "")
{
	return R"({"service":"s","address":")" + address +
	       R"(","zone":"z","version":"v","state":"ready","cold-remaining-ms":0,"sequence":1,"slots":)" +
	       slots + more + "}";
}

bool is_server(const std::string &text, const char *id = "i-1")
{
	skh_error_t err = {};
	skh_server_t *server =
		find_dialect()->read_server(id, skh_chunk_make(text.data(), text.size()), &err);
	bool is_valid = server != nullptr;

	if (server) {
		EXPECT_GT(server->slots, 0U) << text;
		EXPECT_GT(server->port, 0U) << text;
	} else {
		EXPECT_STRNE(err.text, "");
	}
	skh_server_free(server);
	return is_valid;
}

std::string nested(int depth)
{
	return std::string(static_cast<size_t>(depth), '[') +
	       std::string(static_cast<size_t>(depth), ']');
}

// Another writer's entry: very deeply nested, with a number too large, or with a port out of range.
// 2^32 slots were 0, and 2^32 + 5 were 5.
TEST(Platform, OddEntriesNameNoServer)
{
	EXPECT_TRUE(is_server(make_entry("8", "10.0.0.1:80")));
	EXPECT_TRUE(
		is_server(make_entry("8", "10.0.0.1:80", R"(,"born":1764900000000,"x":[[7]])")));
	for (const char *slots : { "0", "-1", "4294967296", "4294967301", "1e9", "8.5", "\"8\"",
				   "99999999999999999999", "1e999", "null" })
		EXPECT_FALSE(is_server(make_entry(slots, "10.0.0.1:80"))) << slots;
	for (const char *address :
	     { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
	       "10.0.0.1:", "10.0.0.1", "10.0.0.256:80", ":80", "host:80", "10.0.0.1:80x" })
		EXPECT_FALSE(is_server(make_entry("8", address))) << address;
	for (const char *more :
	     { R"(,"born":-1)", R"(,"born":1.5)", R"(,"born":9223372036854775807)" })
		EXPECT_FALSE(is_server(make_entry("8", "10.0.0.1:80", more))) << more;
	for (int depth : { 3000, 200000 }) {
		EXPECT_FALSE(is_server(make_entry("8", "10.0.0.1:80", ",\"x\":" + nested(depth))));
		EXPECT_FALSE(is_server(nested(depth)));
		EXPECT_FALSE(is_server(std::string(static_cast<size_t>(depth), '[')));
	}
	for (const char *id : { "", "a b", "a\r\nX-Y: z", "a\tb", "\x7f", "\xc3\xa9" })
		EXPECT_FALSE(is_server(make_entry("8", "10.0.0.1:80"), id)) << id;
	EXPECT_FALSE(is_server(make_entry("8", "10.0.0.1:80"), std::string(201, 'i').c_str()));
}

// A version in microseconds since 1970 is beyond the limit of times; as 0 it would count as older than the
// one in force.
TEST(Platform, VersionsOfAnySizeAreRead)
{
	for (const char *version : { "7", "1764900000000000", "9223372036854775807" }) {
		const std::string text = std::string(R"({"version":)") + version + "}";
		skh_error_t err;
		skh_routing_t *routing =
			find_dialect()->read_config(skh_chunk_make(text.data(), text.size()), &err);

		ASSERT_NE(routing, nullptr);
		EXPECT_EQ(std::to_string(routing->version), version);
		skh_routing_free(routing);
	}
}

// A customer's name with a line break used to add a header field of its own to requests, names that end
// early or with a space passed for others, and a zero byte kept the whole configuration from use.
TEST(Platform, NamesOfAConfigurationPassForNoOthers)
{
	const std::string text =
		R"({"version":1,"services":[{"name":"s"},{"name":"s\u0000x"},{"name":""},
		{"name":"t"}],"routes":[
		{"name":"a","kind":"idempotent","host":"h","prefix":"/a/","service":"t"},
		{"name":"b","kind":"idempotent","host":"h","prefix":"/b/","service":"s\u0000x"},
		{"name":"c","kind":"idempotent","host":"h","prefix":"/c/\u0000x","service":"s"},
		{"name":"d","kind":"idempotent","host":"h\u0000x","prefix":"/d/","service":"s"}],
		"tenants":[{"name":"x","api-keys":["k1","k2\u0000y"]},
		{"name":"y\r\nSkylarkhead-Tenant: x","api-keys":["k3"]},{"name":"x ","api-keys":["k4"]},
		{"name":"","api-keys":["k5"]},{"name":"x\u0000y","api-keys":["k6"]},
		{"name":"Åsa & co","api-keys":["k7"]}]})";
	skh_error_t err = {};
	skh_routing_t *routing =
		find_dialect()->read_config(skh_chunk_make(text.data(), text.size()), &err);

	ASSERT_NE(routing, nullptr) << err.text;
	auto owner = [&](const std::string &key) {
		const skh_key_owner_t *found =
			skh_routing_find_key_owner(routing, "Bearer", ("Bearer " + key).c_str());

		return std::string(found ? found->customer : "-");
	};
	EXPECT_EQ(owner("k1"), "x");
	for (const char *key : { "k2", "k3", "k4", "k5", "k6" })
		EXPECT_EQ(owner(key), "-") << key;
	EXPECT_EQ(owner("k7"), "Åsa & co");
	const skh_route_t *route = skh_routing_find_route(routing, "h", "/a/1");

	ASSERT_NE(route, nullptr);
	EXPECT_STREQ(skh_routing_get_service(routing, route->splits[0].service)->name, "t");
	for (const char *path : { "/b/1", "/c/1", "/d/1" })
		EXPECT_EQ(skh_routing_find_route(routing, "h", path), nullptr) << path;
	EXPECT_EQ(routing->services->len, 2U);
	// Each name that is left out is logged.
	EXPECT_EQ(routing->warnings->len, 7U);
	skh_routing_free(routing);
}

// Numbers out of range in an engine's part of the configuration: a map of 2^40 places was allocated.
TEST(Platform, EnginesThatAreTooLargeAreNoEngines)
{
	for (const char *size : { R"("sets":4,"experts":72,"placements":8)",
				  R"("sets":1000000000,"experts":72,"placements":8)",
				  R"("sets":4,"experts":70000,"placements":8)",
				  R"("sets":4,"experts":72,"placements":1e300)" }) {
		const std::string text =
			std::string(R"({"version":1,"services":[{"name":"s","engine":{)") + size +
			"}}]}";
		skh_error_t err;
		skh_routing_t *routing =
			find_dialect()->read_config(skh_chunk_make(text.data(), text.size()), &err);

		ASSERT_NE(routing, nullptr);
		const skh_service_info_t *service = skh_routing_get_service(routing, 0);

		EXPECT_LE(static_cast<uint64_t>(service->engine_spec.expert_sets) *
				  service->engine_spec.experts_per_set,
			  1U << 20)
			<< size;
		EXPECT_LE(service->engine_spec.slots_per_rank, 1U << 20) << size;
		skh_routing_free(routing);
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
