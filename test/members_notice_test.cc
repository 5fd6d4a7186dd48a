// Members notices and the store keys of groups. Guards against notices that are truncated,
// corrupted or written by someone else being taken for a group's members, and against two groups
// that share a key because of unusual names.
#include "group_id.h"
#include "members_notice.h"

#include <gtest/gtest.h>

#include <glib.h>
#include <random>
#include <string>
#include <vector>

namespace
{

std::string key(const char *service, const char *group)
{
	char *text = skh_group_id_key("p/", service, group, "");
	std::string result = text;

	g_free(text);
	return result;
}

bool is_valid(const std::string &text)
{
	skh_members_notice_t *notice = skh_members_notice_parse(text.c_str());
	bool result = notice != nullptr;

	skh_members_notice_free(notice);
	return result;
}

} // namespace

TEST(GroupId, NamesAreEscapedInKeys)
{
	EXPECT_EQ(key("model", "g0-0"), "p/model/g0-0");
	EXPECT_EQ(key("a/b", "x y%z/coordinator"), "p/a%2Fb/x%20y%25z%2Fcoordinator");
	EXPECT_EQ(key("m", "gr\xc3\xbc\xc3\x9f"), "p/m/gr%C3%BC%C3%9F");
	EXPECT_NE(key("a", "b/c"), key("a/b", "c"));
}

TEST(GroupId, KeysAreParsedBack)
{
	for (const char *name :
	     { "g0-0", "a/b", "%", "%2F", "x y", "gr\xc3\xbc\xc3\x9f", "..", "\x01" }) {
		char *service = nullptr;
		char *group = nullptr;

		ASSERT_TRUE(skh_group_id_parse(key(name, name).c_str() + 2, &service, &group))
			<< name;
		EXPECT_STREQ(service, name);
		EXPECT_STREQ(group, name);
		g_free(service);
		g_free(group);
	}
}

TEST(GroupId, OtherTextsAreNotParsed)
{
	char *service = nullptr;
	char *group = nullptr;

	for (const char *text : { "", "model", "model/", "/g0", "model/g0/x", "model/%", "model/%2",
				  "model/%2f", "model/%41", "model/%00", "mo del/g0" })
		EXPECT_FALSE(skh_group_id_parse(text, &service, &group)) << text;
	EXPECT_EQ(service, nullptr);
}

TEST(MembersNotice, IsReadAsWritten)
{
	std::vector<std::string> addresses = { "10.0.0.1:8000", "10.0.0.2:8000", "10.0.0.9:65535" };
	skh_member_t members[] = { { addresses[0].data(), 0 },
				   { addresses[1].data(), 3 },
				   { addresses[2].data(), 31 } };
	const skh_members_notice_t written = { 7, 32, 3, members };
	char *text = skh_members_notice_write(&written);
	skh_members_notice_t *notice = skh_members_notice_parse(text);

	EXPECT_STREQ(text,
		     "epoch 7 ranks 32\n10.0.0.1:8000 0\n10.0.0.2:8000 3\n10.0.0.9:65535 31\n");
	ASSERT_NE(notice, nullptr);
	EXPECT_EQ(notice->epoch, 7);
	EXPECT_EQ(notice->n_ranks, 32U);
	ASSERT_EQ(notice->n_members, 3U);
	EXPECT_STREQ(notice->members[1].address, "10.0.0.2:8000");
	EXPECT_EQ(notice->members[1].rank, 3U);
	skh_members_notice_free(notice);
	g_free(text);
}

TEST(MembersNotice, WithoutMembersIsValid)
{
	EXPECT_TRUE(is_valid("epoch 0 ranks 1\n"));
}

TEST(MembersNotice, CorruptedTextsAreRejected)
{
	for (const char *text : {
		     "",
		     "\n",
		     "epoch 1 ranks 2",
		     "epoch 1\n",
		     "epoch 1 ranks 0\n",
		     "epoch -1 ranks 2\n",
		     "epoch x ranks 2\n",
		     "ranks 2 epoch 1\n",
		     "epoch 1 ranks 16385\n",
		     "epoch 1 ranks 99999999999999999999\n",
		     "epoch 1 ranks 2 \n",
		     "epoch 1 ranks 2\n10.0.0.1:1 0",	/* truncated */
		     "epoch 1 ranks 2\n10.0.0.1:1 2\n", /* no such rank */
		     "epoch 1 ranks 2\n10.0.0.1:1 -1\n",
		     "epoch 1 ranks 2\n10.0.0.1:1\n",
		     "epoch 1 ranks 2\n10.0.0.1:1 0 0\n",
		     "epoch 1 ranks 2\nname:1 0\n",
		     "epoch 1 ranks 2\n10.0.0.1:1 1\n10.0.0.2:1 0\n", /* out of order */
		     "epoch 1 ranks 2\n10.0.0.1:1 0\n10.0.0.2:1 0\n", /* a rank twice */
		     "epoch 1 ranks 2\n10.0.0.1:1 0\n10.0.0.1:1 1\n", /* an address twice */
		     "epoch 1 ranks 2\n10.0.0.1:1 0\n\n",
	     })
		EXPECT_FALSE(is_valid(text)) << text;
}

// A reader must not crash or read out of bounds for any bytes in the store.
TEST(MembersNotice, RandomlyChangedTextsAreSafe)
{
	const std::string text = "epoch 7 ranks 32\n10.0.0.1:8000 0\n10.0.0.2:8000 3\n";
	std::mt19937 random(1);

	for (int i = 0; i < 20000; i++) {
		std::string changed = text.substr(0, random() % (text.size() + 1));

		for (int j = 0; j < 3 && !changed.empty(); j++)
			changed[random() % changed.size()] = "0 \n:.9e\xff"[random() % 8];
		skh_members_notice_t *notice = skh_members_notice_parse(changed.c_str());

		if (!notice)
			continue;
		EXPECT_LE(notice->n_members, notice->n_ranks);
		for (uint32_t j = 0; j < notice->n_members; j++)
			EXPECT_LT(notice->members[j].rank, notice->n_ranks);
		skh_members_notice_free(notice);
	}
}
