// Tests of settings, manifests, configuration parts, and apply with a fake key-value service that
// can lose a write or its response.
#include "apply.h"
#include "fake_store.h"
#include "manifest.h"
#include "settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

namespace
{

std::string read_file(const std::string &name)
{
	std::ifstream in(std::string(SKH_TEST_DATA) + "/" + name);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

skh_manifest_t *parse_manifest(const std::string &text, std::string *errors_text = nullptr)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_manifest_t *manifest =
		skh_manifest_from_toml(skh_chunk_make(text.data(), text.size()), errors);

	for (size_t i = 0; errors_text && i < skh_validation_errors_count(errors); i++)
		*errors_text += std::string(skh_validation_errors_at(errors, i)->key) + ": " +
				skh_validation_errors_at(errors, i)->reason + "\n";
	skh_validation_errors_free(errors);
	return manifest;
}

std::string valid_manifest_text()
{
	return read_file("good-manifest.toml");
}

// A name with a zero byte was cut there and passed for the shorter name.
TEST(Manifest, ZeroBytesInNamesAndTextsAreRejected)
{
	for (const char *text : { "a = \"x\\u0000y\"\n", "b = [\"x\", \"\\u0000\"]\n",
				  "[\"c\\u0000\"]\nd = 1\n", "[[e]]\nf = \"\\u0000\"\n" }) {
		skh_error_t err = {};
		uint32_t line = 0;

		EXPECT_EQ(nullptr, skh_doc_node_from_toml(skh_chunk_from_string(text), &line, &err))
			<< text;
		EXPECT_EQ(SKH_CONFIG_INVALID, err.kind);
	}
}

TEST(Manifest, NonAsciiCharactersAreRejectedWithTheirLine)
{
	/* Found by the fuzzer: each text made toml++ reach code marked as unreachable. */
	for (const char *invalid_text :
	     { "[change]\nby = 0\"x-\310\235\"\n", "a = 1\n[inst\312\250nce]\n" }) {
		skh_error_t err = {};
		uint32_t line = 0;

		EXPECT_EQ(nullptr,
			  skh_doc_node_from_toml(skh_chunk_from_string(invalid_text), &line, &err));
		EXPECT_EQ(2u, line);
		EXPECT_EQ(SKH_CONFIG_INVALID, err.kind);
	}
	skh_error_t err = {};
	uint32_t line = 0;
	skh_doc_node_t *node = skh_doc_node_from_toml(
		skh_chunk_from_string("by = \"Juml\\u00e9\"\n"), &line, &err);

	ASSERT_NE(nullptr, node) << err.text;
	EXPECT_STREQ("Juml\303\251", skh_doc_node_text(skh_doc_node_find(node, "by")));
	skh_doc_node_free(node);
}

TEST(Manifest, LooksUpCustomersAndServices)
{
	std::string errors;
	skh_manifest_t *manifest = parse_manifest(valid_manifest_text(), &errors);

	ASSERT_NE(manifest, nullptr) << errors;
	const skh_customer_t *customer = skh_manifest_customer_by_key(manifest, "clerk-key");
	ASSERT_NE(customer, nullptr);
	EXPECT_STREQ(customer->name, "nairobi-yard");
	EXPECT_EQ(skh_manifest_customer_by_key(manifest, "clerk-kex"), nullptr);
	EXPECT_TRUE(skh_customer_can_use(customer, "ledger"));
	EXPECT_FALSE(skh_customer_can_use(customer, "drafting"));
	const skh_service_t *ledger = skh_manifest_service(manifest, "ledger");
	EXPECT_TRUE(skh_service_is_idempotent(ledger, "GET"));
	EXPECT_FALSE(skh_service_is_idempotent(ledger, "POST"));
	skh_manifest_unref(manifest);
}

TEST(Parts, MergeRestoresTheSplitManifest)
{
	skh_manifest_t *manifest = parse_manifest(valid_manifest_text());
	GHashTable *texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTable *parts = skh_config_parts_split(skh_manifest_tree(manifest), texts);
	std::vector<const char *> list;
	GHashTableIter iter;
	gpointer text;
	skh_error_t err = {};

	g_hash_table_iter_init(&iter, texts);
	while (g_hash_table_iter_next(&iter, nullptr, &text))
		list.push_back(static_cast<const char *>(text));
	skh_doc_node_t *merged = skh_config_parts_merge(list.data(), list.size(), &err);
	ASSERT_NE(merged, nullptr);
	GHashTable *merged_texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTable *merged_parts = skh_config_parts_split(merged, merged_texts);
	skh_config_head_t *first = skh_config_head_new(1, "a", "r", "x", 0, parts);
	skh_config_head_t *second = skh_config_head_new(1, "a", "r", "x", 0, merged_parts);
	char *difference = skh_config_head_changed_parts(first, second);
	EXPECT_STREQ(difference, "");
	g_free(difference);
	skh_config_head_free(first);
	skh_config_head_free(second);
	g_hash_table_unref(parts);
	g_hash_table_unref(merged_parts);
	g_hash_table_unref(texts);
	g_hash_table_unref(merged_texts);
	skh_doc_node_free(merged);
	skh_manifest_unref(manifest);
}

class Apply : public ::testing::Test
{
      protected:
	bool apply(const std::string &text, int64_t base_revision = -1)
	{
		skh_manifest_t *manifest = parse_manifest(text);
		bool accepted = skh_apply_manifest(&store.base, "/skh/", manifest, base_revision,
						   min_revision, &result, &err);

		skh_manifest_unref(manifest);
		free_changed_parts();
		return accepted;
	}

	void free_changed_parts()
	{
		g_free(result.changed_parts);
		result.changed_parts = nullptr;
	}

	std::string manifest_text_with_rate(int rate)
	{
		std::string text = valid_manifest_text();
		const std::string from = "rate_per_s = 50.0";

		text.replace(text.find(from), from.size(),
			     "rate_per_s = " + std::to_string(rate) + ".0");
		return text;
	}

	FakeStore store;
	int64_t min_revision = 0;
	skh_apply_result_t result = {};
	skh_error_t err = {};
};

TEST_F(Apply, IncrementsRevisionAndWritesOnlyChangedParts)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	EXPECT_EQ(result.revision, 1);
	ASSERT_TRUE(apply(manifest_text_with_rate(60)));
	EXPECT_EQ(result.revision, 2);
	EXPECT_EQ(result.n_parts_written, 1U);
}

TEST_F(Apply, RetryOfAnAcceptedManifestChangesNothing)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	ASSERT_TRUE(apply(valid_manifest_text()));
	EXPECT_TRUE(result.is_unchanged);
	EXPECT_EQ(result.revision, 1);
}

TEST_F(Apply, RevisionExceedsMinimumWhenStoreLostItsContents)
{
	min_revision = 41;
	ASSERT_TRUE(apply(valid_manifest_text()));
	EXPECT_EQ(result.revision, 42);
}

TEST_F(Apply, LostResponseIsResolvedByReadingTheHeadBack)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	store.lose_response_of_txn = store.n_txns + 2; /* the transaction that swaps the head */
	ASSERT_TRUE(apply(manifest_text_with_rate(60))) << err.text;
	EXPECT_EQ(result.revision, 2);
}

TEST_F(Apply, LostWriteIsNotReportedAsAccepted)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	store.drop_txn = store.n_txns + 2; /* the transaction that swaps the head */
	EXPECT_FALSE(apply(manifest_text_with_rate(60)));
	EXPECT_EQ(err.kind, SKH_STORE_UNAVAILABLE);
	EXPECT_EQ(err.run_state, SKH_RUN_NOT_RUN);
}

TEST_F(Apply, LostResponseDuringAnOutageIsUnknown)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	store.lose_response_of_txn = store.n_txns + 2; /* the transaction that swaps the head */
	store.is_down_after_loss = true;
	EXPECT_FALSE(apply(manifest_text_with_rate(60)));
	EXPECT_EQ(err.kind, SKH_OUTCOME_UNKNOWN);
	EXPECT_EQ(err.run_state, SKH_RUN_UNKNOWN);
}

TEST_F(Apply, ConcurrentApplyFailsWithTheChangedParts)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	store.hooked_txn = store.n_txns + 2; /* the transaction that swaps the head */
	store.before_txn_hook = [this] {
		skh_manifest_t *concurrent_manifest = parse_manifest(manifest_text_with_rate(70));
		skh_apply_result_t concurrent_result = {};
		skh_error_t concurrent_err = {};
		EXPECT_TRUE(skh_apply_manifest(&store.base, "/skh/", concurrent_manifest, -1, 0,
					       &concurrent_result, &concurrent_err));
		skh_apply_result_clear(&concurrent_result);
		skh_manifest_unref(concurrent_manifest);
	};
	EXPECT_FALSE(apply(manifest_text_with_rate(60)));
	EXPECT_EQ(err.kind, SKH_CONFLICT);
	EXPECT_NE(std::string(err.text).find("customer-"), std::string::npos) << err.text;
}

TEST_F(Apply, ChangeBasedOnAnOldRevisionIsAConflict)
{
	ASSERT_TRUE(apply(valid_manifest_text()));
	ASSERT_TRUE(apply(manifest_text_with_rate(60), 1));
	EXPECT_FALSE(apply(manifest_text_with_rate(70), 1));
	EXPECT_EQ(err.kind, SKH_CONFLICT);
}

RC_GTEST_PROP(Manifest, AnyTextIsParsedOrRejectedSafely, (const std::string &text))
{
	skh_manifest_unref(parse_manifest(text));
}

RC_GTEST_PROP(Settings, AnyTextIsRejectedWithErrors, (const std::string &text))
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_settings_t *settings = skh_settings_parse(skh_chunk_make(text.data(), text.size()),
						      SKH_ROLE_SIDECAR, errors);

	RC_ASSERT(skh_validation_errors_count(errors) > 0U);
	skh_settings_free(settings);
	skh_validation_errors_free(errors);
}

} // namespace
