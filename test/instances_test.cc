// Instances that are registered in the store. Guards against an id that is cut off and passes for that of
// another instance.
#include "instances.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

TEST(Instances, IdsThatDoNotFitAreRefused)
{
	const std::string value = R"({"role":"sidecar","failure_domain":"a","state":"live"})";
	std::vector<std::string> keys = { "p/" };
	std::vector<skh_kv_pair_t> list;
	size_t n_invalid = 0;

	for (size_t len : { 1, 255, 256, 300 })
		keys.push_back("p/" + std::string(len, 'i'));
	list.reserve(keys.size());
	for (const std::string &key : keys)
		list.push_back({ const_cast<char *>(key.c_str()), const_cast<char *>(value.c_str()),
				 1, 1, 0 });
	skh_kv_pairs_t pairs = {};

	pairs.list = list.data();
	pairs.count = list.size();
	skh_instances_t *instances = skh_instances_parse(&pairs, "p/", &n_invalid);
	EXPECT_EQ(instances->count, 2U);
	EXPECT_EQ(n_invalid, 3U);
	EXPECT_NE(skh_instances_find(instances, std::string(255, 'i').c_str()), nullptr);
	skh_instances_free(instances);
}
