// Errors, buffers, document trees, metrics and the blackboard.
#include "board.h"
#include "buffer.h"
#include "decisions.h"
#include "doc_node.h"
#include "error.h"
#include "metrics.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace
{

TEST(Error, EveryKindHasARowAndAUniqueName)
{
	for (int i = 0; i < SKH_ERROR_KIND_COUNT; i++) {
		const auto kind = static_cast<skh_error_kind_t>(i);

		ASSERT_NE(skh_error_kind_name(kind), nullptr);
		EXPECT_EQ(skh_error_kind_from_name(skh_error_kind_name(kind)), kind);
		EXPECT_GE(skh_error_kind_http_status(kind), 200);
	}
	EXPECT_EQ(skh_error_kind_from_name("no such kind"), SKH_INTERNAL);
}

// NOT_RUN tells the caller that a retry is safe, so a kind of error that is possible after the
// request has run must not have it.
TEST(Error, KindsThatCanFollowARunAreNotMarkedNotRun)
{
	skh_error_t err;

	for (skh_error_kind_t kind :
	     { SKH_OUTCOME_UNKNOWN, SKH_CANCELLED, SKH_INTERNAL, SKH_CUT_OFF }) {
		(void)skh_error_set(&err, kind, "x");
		EXPECT_NE(err.run_state, SKH_RUN_NOT_RUN) << skh_error_kind_name(kind);
	}
}

TEST(Buffer, GrowsAndConsumes)
{
	skh_buffer_t buffer = SKH_BUFFER_INIT;

	EXPECT_STREQ(skh_buffer_text(&buffer), "");
	for (int i = 0; i < 1000; i++)
		skh_buffer_printf(&buffer, "%d,", i % 10);
	EXPECT_EQ(buffer.len, 2000U);
	skh_buffer_consume(&buffer, 1998);
	EXPECT_STREQ(skh_buffer_text(&buffer), "9,");
	skh_buffer_free(&buffer);
	EXPECT_EQ(buffer.len, 0U);
}

TEST(Node, WritesCanonicalJson)
{
	skh_error_t err;
	const char *text = "{\"b\":[1,2.5,true],\"a\":{\"y\":\"t\",\"x\":-3}}";
	skh_doc_node_t *node = skh_doc_node_from_json(skh_chunk_from_string(text), &err);

	ASSERT_NE(node, nullptr);
	char *out = skh_doc_node_to_json(node);
	EXPECT_STREQ(out, "{\"a\":{\"x\":-3,\"y\":\"t\"},\"b\":[1,2.5,true]}");
	g_free(out);
	skh_doc_node_free(node);
}

// A parser that recurses without a limit would overflow its stack.
TEST(Node, RejectsDeeplyNestedJson)
{
	skh_error_t err;
	const std::string deep(100000, '[');

	EXPECT_EQ(skh_doc_node_from_json(skh_chunk_make(deep.data(), deep.size()), &err), nullptr);
	EXPECT_EQ(err.kind, SKH_BAD_REQUEST);
}

TEST(Metrics, ObservesPerCustomerAndClass)
{
	skh_buffer_t out = SKH_BUFFER_INIT;

	skh_metrics_observe(SKH_HIST_ANSWER, "yard", "counter", 1000);
	skh_metrics_observe(SKH_HIST_ANSWER, "yard", "counter", 100000000000);
	skh_metrics_write(&out);
	const std::string text = skh_buffer_text(&out);
	EXPECT_NE(text.find("skylarkhead_answer_us_bucket{customer=\"yard\",class=\"counter\","
			    "le=\"1024\"} 1\n"),
		  std::string::npos);
	EXPECT_NE(text.find("skylarkhead_answer_us_count{customer=\"yard\",class=\"counter\"} 2\n"),
		  std::string::npos);
	skh_buffer_free(&out);
}

// Names that run together, or that end a label, would count requests of one customer for another.
TEST(Metrics, NamesOfCustomersAndGroupsStayApart)
{
	const int64_t one[SKH_GROUP_METRIC_COUNT] = { 1 };
	skh_buffer_t out = SKH_BUFFER_INIT;

	skh_metrics_observe(SKH_HIST_ANSWER, "a\nb", "c", 1000);
	skh_metrics_observe(SKH_HIST_ANSWER, "a", "b\nc", 1000);
	skh_metrics_observe(SKH_HIST_ANSWER, "q\"d\\", "c", 1000);
	skh_metrics_set_group_values("s\nt", "u", one);
	skh_metrics_set_group_values("s", "t\nu", one);
	skh_metrics_write(&out);
	const std::string text = skh_buffer_text(&out);
	for (const char *line :
	     { "customer=\"a\\nb\",class=\"c\"} 1\n", "customer=\"a\",class=\"b\\nc\"} 1\n",
	       "customer=\"q\\\"d\\\\\",class=\"c\"} 1\n", "service=\"s\\nt\",group=\"u\"} 1\n",
	       "service=\"s\",group=\"t\\nu\"} 1\n" })
		EXPECT_NE(text.find(line), std::string::npos) << line;
	skh_buffer_free(&out);
}

// Names cut after 63 bytes made customers look alike, and a text cut within a character was not found.
TEST(Decisions, NamesAreKeptWhole)
{
	const std::string customer = std::string(300, 'x') + "a";
	const std::string server = std::string(600, 's') + "1";
	const char *servers[] = { server.c_str(), "t" };
	skh_error_t err = {};

	skh_error_set(&err, SKH_BACKEND_FAILED, "%s",
		      (std::string(SKH_ERROR_TEXT_BYTES - 2, 'e') + "é").c_str());
	skh_decisions_record("00000000000000aa", customer.c_str(), "s", servers, 2, &err);
	json_t *found = skh_decisions_find("00000000000000aa");

	ASSERT_NE(found, nullptr);
	EXPECT_EQ(json_string_value(json_object_get(found, "customer")), customer);
	EXPECT_EQ(json_string_value(json_object_get(found, "servers")), server + " t");
	json_decref(found);
}

// Readers acquire and release sections while a writer replaces them. A section must
// stay valid while a reader holds it, and the revisions a reader sees must not decrease.
TEST(Board, ReadersNeverSeeAnOlderRevision)
{
	skh_board_t *board = skh_board_new();
	std::atomic<bool> stop{ false };
	std::atomic<bool> saw_older_revision{ false };
	std::vector<std::thread> readers;

	for (int i = 0; i < 4; i++) {
		readers.emplace_back([&] {
			int64_t last_revision = 0;
			while (!stop) {
				const skh_config_t *config = skh_board_acquire_config(board);
				const int64_t revision = config ? config->revision : 0;

				if (revision < last_revision)
					saw_older_revision = true;
				last_revision = revision;
				skh_board_release(config);
			}
		});
	}
	for (int64_t revision = 1; revision <= 2000; revision++) {
		auto *config = g_new0(skh_config_t, 1);

		config->revision = revision;
		config->author = g_strdup("test");
		skh_board_publish_config(board, config);
	}
	stop = true;
	for (auto &reader : readers)
		reader.join();
	EXPECT_FALSE(saw_older_revision);
	EXPECT_EQ(skh_board_config_revision(board), 2000);
	skh_board_free(board);
}

} // namespace
