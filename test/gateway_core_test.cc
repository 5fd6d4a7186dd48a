// The gateway's decision modules, each under the load or fault that it handles.
#include "clock.h"
#include "event_stream.h"
#include "group_breaker.h"
#include "http_message.h"
#include "request_queue.h"
#include "retry_policy.h"
#include "retry_share.h"
#include "roster.h"
#include "routing.h"
#include "server_selection.h"

#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>
#include <vector>

namespace
{

// In microseconds.
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;

skh_chunk_t make_chunk(const std::string &text)
{
	return skh_chunk_make(text.data(), text.size());
}

std::string to_string(const skh_buffer_t &buffer)
{
	return std::string(reinterpret_cast<const char *>(buffer.data), buffer.len);
}

skh_retry_policy_input_t make_lost_view(skh_retry_mode_t retry_mode)
{
	skh_retry_policy_input_t view = {};

	view.end = SKH_END_LOST;
	view.retry_mode = retry_mode;
	view.possible_runs = 1;
	view.n_attempts = 1;
	view.max_runs = 2;
	view.has_retry_budget = true;
	view.deadline_us = kS;
	return view;
}

skh_server_t *make_server(const char *id)
{
	skh_server_t *server = g_new0(skh_server_t, 1);

	server->id = g_strdup(id);
	server->service = g_strdup("s");
	server->host = g_strdup("10.0.0.1");
	server->failure_domain = g_strdup("a");
	server->port = 80;
	server->slots = 4;
	return server;
}

bool is_listed(const skh_roster_builder_t *builder, const char *id)
{
	skh_roster_t *roster = skh_roster_builder_snapshot(builder, 1);
	bool found = skh_roster_find(roster, id) != nullptr;

	skh_roster_free(roster);
	return found;
}

} // namespace

// --- Retry policy ---

TEST(RetryPolicy, ARequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun)
{
	skh_retry_policy_input_t view = make_lost_view(SKH_RETRY_MODE_NEVER);

	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
	view.max_runs = 9;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
	// A later attempt that was not sent does not undo an earlier run.
	view = make_lost_view(SKH_RETRY_MODE_ALLOWED);
	view.end = SKH_END_UNREACHABLE;
	view.n_attempts = SKH_RETRY_POLICY_MAX_ATTEMPTS;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
	view.possible_runs = 0;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_REJECT);
}

TEST(RetryPolicy, RetriesAreLimitedByAttemptsBudgetTimeAndSuspicion)
{
	skh_retry_policy_input_t view = make_lost_view(SKH_RETRY_MODE_ALLOWED);

	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_RETRY);
	view.possible_runs = 2;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
	view = make_lost_view(SKH_RETRY_MODE_ALLOWED);
	view.has_retry_budget = false;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
	view = make_lost_view(SKH_RETRY_MODE_ALLOWED);
	view.is_retry_blocked = true;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
	view = make_lost_view(SKH_RETRY_MODE_ALLOWED);
	view.now_us = view.deadline_us - kMs;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_OUTCOME_UNKNOWN);
}

TEST(RetryPolicy, ABrokenStreamIsResumedElsewhereOrClosedWithoutAnEndMark)
{
	skh_retry_policy_input_t view = make_lost_view(SKH_RETRY_MODE_RESUME_STREAM);

	view.end = SKH_END_STREAM_BROKEN;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_RETRY);
	view.retry_mode = SKH_RETRY_MODE_NEVER;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_CLOSE_STREAM);
}

// A broken stream was sent to another server, which rejected it: the caller has a part of the stream,
// so a response of the gateway's own would end up in the middle of it.
TEST(RetryPolicy, NoOtherResponseFollowsTheBeginningOfAStream)
{
	for (int end = SKH_END_UNREACHABLE; end <= SKH_END_STREAM_BROKEN; end++) {
		for (uint32_t possible_runs = 0; possible_runs < 3; possible_runs++) {
			skh_retry_policy_input_t view =
				make_lost_view(SKH_RETRY_MODE_RESUME_STREAM);

			view.end = static_cast<skh_attempt_end_t>(end);
			view.possible_runs = possible_runs;
			view.has_response_begun = true;
			view.can_resume = true;
			view.n_attempts = SKH_RETRY_POLICY_MAX_ATTEMPTS;
			EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_CLOSE_STREAM)
				<< "end " << end << " runs " << possible_runs;
		}
	}
}

// Without a certain position, another server would leave out events or send them twice.
TEST(RetryPolicy, AStreamResumesOnlyAtACertainPosition)
{
	skh_retry_policy_input_t view = make_lost_view(SKH_RETRY_MODE_RESUME_STREAM);

	view.end = SKH_END_STREAM_BROKEN;
	view.has_response_begun = true;
	view.can_resume = true;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_RETRY);
	view.can_resume = false;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_CLOSE_STREAM);
	view.has_response_begun = false;
	EXPECT_EQ(skh_retry_policy_decide(&view), SKH_RETRY_DECISION_RETRY);
}

// Reference rule: a request that may have run is retried only if its retry mode allows that.
TEST(RetryPolicy, NeverRetriesMoreThanTheReferenceRuleAllows)
{
	std::mt19937 random(7);

	for (int i = 0; i < 20000; i++) {
		skh_retry_policy_input_t view = {};

		view.end = static_cast<skh_attempt_end_t>(random() % 5);
		view.retry_mode = static_cast<skh_retry_mode_t>(random() % 3);
		view.possible_runs = random() % 3;
		if (view.end >= SKH_END_ERROR)
			view.possible_runs = std::max(view.possible_runs, 1U);
		view.n_attempts = std::max(view.possible_runs, 1U) + random() % 4;
		view.max_runs = 1 + random() % 3;
		view.has_retry_budget = random() % 2;
		view.is_retry_blocked = random() % 2;
		view.deadline_us = static_cast<int64_t>(random() % 2000) * kMs;
		view.now_us = 500 * kMs;
		skh_retry_decision_t decision = skh_retry_policy_decide(&view);
		bool ran = view.possible_runs > 0;

		if (decision == SKH_RETRY_DECISION_RETRY && ran) {
			EXPECT_NE(view.retry_mode, SKH_RETRY_MODE_NEVER);
			if (view.end != SKH_END_UNREACHABLE && view.end != SKH_END_NOT_RUN) {
				EXPECT_LT(view.possible_runs, view.max_runs);
			}
		}
		if (decision == SKH_RETRY_DECISION_REJECT) {
			EXPECT_FALSE(ran);
		}
		if (decision == SKH_RETRY_DECISION_FORWARD_RESPONSE) {
			EXPECT_EQ(view.end, SKH_END_ERROR);
		}
	}
}

// --- Retry share ---

TEST(RetryShare, AllGatewaysTogetherStayWithinTheBudgetInAnyWindow)
{
	const skh_retry_share_limits_t limits = { 0.2, 90, 10 * kS, 4 };
	std::vector<skh_retry_share_t> shares(4);
	std::vector<int64_t> retries;
	std::vector<int64_t> requests;
	std::mt19937 random(3);

	// Every request is lost and every gateway retries as often as its share allows.
	for (int64_t now = 100 * kS; now < 160 * kS; now += 5 * kMs) {
		for (auto &share : shares) {
			if (random() % 20 == 0) {
				skh_retry_share_record_request(&share, &limits, now);
				requests.push_back(now);
			}
			if (skh_retry_share_has_room(&share, &limits, now)) {
				skh_retry_share_record_retry(&share, &limits, now);
				retries.push_back(now);
			}
		}
	}
	for (int64_t begin = 100 * kS; begin < 150 * kS; begin += 100 * kMs) {
		auto in_window = [begin](const std::vector<int64_t> &times) {
			return std::count_if(times.begin(), times.end(), [begin](int64_t at) {
				return at >= begin && at < begin + 10 * kS;
			});
		};

		EXPECT_LE(in_window(retries), 0.2 * in_window(requests) + 90);
	}
	EXPECT_GT(retries.size(), 50U);
}

// --- Request queue ---

// A burst of twice the capacity for 3 s, then arrivals at the capacity. In order of arrival every
// request misses its objective until the backlog is gone.
static int count_in_time_after_burst(bool is_fifo)
{
	skh_request_queue_t *queue = skh_request_queue_new();
	std::vector<skh_queued_request_t> requests(1000);
	size_t next = 0;
	int in_time = 0;

	for (int64_t now = 0; now < 10 * kS; now += 10 * kMs) {
		bool arrives = now < 3 * kS || now % (20 * kMs) == 0;

		if (arrives && next < requests.size()) {
			skh_queued_request_t &request = requests[next++];

			request = { 1,	now,   now + 400 * kMs, now + 1800 * kMs,
				    -1, false, false,		false,
				    0,	0.0 };
			// With objectives after the end of the run, requests are served in order of arrival.
			if (is_fifo)
				request.dispatch_objective_us = now + 100 * kS;
			skh_request_queue_enqueue(queue, &request);
		}
		while (skh_queued_request_t *expired = skh_request_queue_find_expired(queue, now))
			skh_request_queue_remove(queue, expired);
		if (now % (20 * kMs) != 0)
			continue;
		if (skh_queued_request_t *first = skh_request_queue_peek(queue, now)) {
			skh_request_queue_start(queue, first);
			in_time += now <= first->enqueued_us + 400 * kMs;
		}
	}
	skh_request_queue_free(queue);
	return in_time;
}

TEST(RequestQueue, AfterABurstRequestsThatCanMeetTheirObjectiveGoFirst)
{
	int by_objective = count_in_time_after_burst(false);
	int fifo = count_in_time_after_burst(true);

	EXPECT_GT(by_objective, 2 * fifo);
	EXPECT_GT(by_objective, 400); // of 500 that can be served at all
}

TEST(RequestQueue, AHigherPriorityIsServedFirst)
{
	skh_request_queue_t *queue = skh_request_queue_new();
	skh_queued_request_t low = { 2, 0, kS, 2 * kS, -1, false, false, false, 0, 0.0 };
	skh_queued_request_t high = { 1, 5, 2 * kS, 3 * kS, -1, false, false, false, 0, 0.0 };
	skh_queued_request_t arriving = { 2, 6, 3 * kS, 4 * kS, -1, false, false, false, 0, 0.0 };

	skh_request_queue_enqueue(queue, &low);
	skh_request_queue_enqueue(queue, &high);
	EXPECT_EQ(skh_request_queue_peek(queue, 10), &high);
	EXPECT_EQ(skh_request_queue_count_ahead(queue, &arriving, 10), 2U);
	skh_request_queue_remove(queue, &high);
	EXPECT_EQ(skh_request_queue_peek(queue, 10), &low);
	EXPECT_EQ(skh_request_queue_find_expired(queue, 10), nullptr);
	EXPECT_EQ(skh_request_queue_find_expired(queue, 2 * kS), &low);
	skh_request_queue_free(queue);
}

// --- Server selection ---

TEST(ServerSelection, RequestsAreBalancedOverTheRanksOfALockStepGroup)
{
	std::vector<skh_candidate_t> candidates(12);
	std::mt19937 random(5);

	for (auto &candidate : candidates)
		candidate.slots = 12;
	for (int i = 0; i < 100; i++) {
		skh_selection_input_t view = { candidates.data(), 12, true, 0, random(), kS, {} };
		int32_t selected = skh_select_server(&view);

		ASSERT_GE(selected, 0);
		candidates[selected].running++;
	}
	auto by_running = [](const skh_candidate_t &a, const skh_candidate_t &b) {
		return a.running < b.running;
	};
	auto range = std::minmax_element(candidates.begin(), candidates.end(), by_running);

	EXPECT_LE(range.second->running - range.first->running, 1U);
}

// A rank with a slowdown of 5 gets no request while others have free slots; one with a slowdown
// of 1.5 gets fewer requests.
TEST(ServerSelection, ASlowRankGetsFewerRequests)
{
	std::vector<skh_candidate_t> candidates(12);
	std::mt19937 random(5);

	for (auto &candidate : candidates)
		candidate.slots = 12;
	candidates[3].slowdown = 5.0;
	candidates[7].slowdown = 1.5;
	for (int i = 0; i < 80; i++) {
		skh_selection_input_t view = { candidates.data(), 12, true, 0, random(), kS, {} };

		candidates[skh_select_server(&view)].running++;
	}
	EXPECT_EQ(candidates[3].running, 0U);
	EXPECT_GT(candidates[7].running, 0U);
	EXPECT_LT(candidates[7].running, candidates[0].running);
	for (auto &candidate : candidates)
		candidate.running = 12;
	candidates[3].running = 0;
	skh_selection_input_t view = { candidates.data(), 12, true, 0, 0, kS, {} };
	EXPECT_EQ(skh_select_server(&view), 3);
}

TEST(ServerSelection, FullAndExcludedServersAreNotSelected)
{
	std::vector<skh_candidate_t> candidates(3);
	skh_selection_input_t view = { candidates.data(), 3, false, 0, 0, kS, {} };

	for (auto &candidate : candidates)
		candidate.slots = 2;
	candidates[0].running = 2;
	candidates[1].is_excluded = true;
	candidates[2].full_until_us = 2 * kS;
	EXPECT_EQ(skh_select_server(&view), SKH_SELECTION_NONE);
	EXPECT_TRUE(skh_selection_has_candidate(&view));
	candidates[2].full_until_us = 0;
	candidates[2].avoid_until_us = 2 * kS;
	// A server to be avoided is selected when no other is left.
	candidates[0].is_excluded = true;
	EXPECT_EQ(skh_select_server(&view), 2);
	candidates[0].is_excluded = false;
	candidates[0].running = 0;
	EXPECT_EQ(skh_select_server(&view), 0);
}

TEST(ServerSelection, AServerThatFailsHalfOfItsRequestsIsSelectedLast)
{
	std::vector<skh_candidate_t> candidates(3);
	skh_selection_input_t view = { candidates.data(), 3, false, 0, 0, kS, {} };

	for (auto &candidate : candidates) {
		candidate.slots = 6;
		candidate.mean_latency_ms = 60;
	}
	candidates[0].failure_ratio = 0.5;
	for (view.random = 0; view.random < 9; view.random++)
		EXPECT_NE(skh_select_server(&view), 0);
	candidates[1].running = 6;
	candidates[2].running = 6;
	EXPECT_EQ(skh_select_server(&view), 0);
}

// --- Roster ---

constexpr int64_t kGraceEndsUs = kS + SKH_ROSTER_GRACE_US;

TEST(Roster, ARemovedServerIsDroppedUnlessTheStoreWasUnavailable)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();

	(void)skh_roster_builder_put(builder, make_server("a"));
	(void)skh_roster_builder_put(builder, make_server("b"));
	EXPECT_TRUE(skh_roster_builder_remove(builder, "a", 0, kS));
	EXPECT_FALSE(is_listed(builder, "a"));
	EXPECT_EQ(skh_roster_builder_next_expiry_us(builder), INT64_MAX);
	EXPECT_FALSE(skh_roster_builder_remove(builder, "b", kGraceEndsUs, kS));
	EXPECT_TRUE(is_listed(builder, "b"));
	EXPECT_EQ(skh_roster_builder_next_expiry_us(builder), kGraceEndsUs);
	EXPECT_FALSE(skh_roster_builder_expire(builder, kGraceEndsUs - 1));
	EXPECT_TRUE(skh_roster_builder_expire(builder, kGraceEndsUs));
	EXPECT_FALSE(is_listed(builder, "b"));
	skh_roster_builder_free(builder);
}

// The grace period is the store's, not the entry's: a server that is removed at its end has left.
TEST(Roster, AServerRemovedLateInTheGracePeriodIsKeptOnlyUntilItsEnd)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();

	(void)skh_roster_builder_put(builder, make_server("a"));
	(void)skh_roster_builder_put(builder, make_server("b"));
	EXPECT_FALSE(skh_roster_builder_remove(builder, "a", kGraceEndsUs, kGraceEndsUs - 1));
	EXPECT_TRUE(skh_roster_builder_expire(builder, kGraceEndsUs));
	EXPECT_FALSE(is_listed(builder, "a"));
	EXPECT_TRUE(skh_roster_builder_remove(builder, "b", kGraceEndsUs, kGraceEndsUs));
	EXPECT_FALSE(is_listed(builder, "b"));
	skh_roster_builder_free(builder);
}

TEST(Roster, AnotherOutageExtendsTheGracePeriodOfServersThatAreNotListed)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();

	(void)skh_roster_builder_put(builder, make_server("a"));
	(void)skh_roster_builder_put(builder, make_server("listed"));
	(void)skh_roster_builder_remove(builder, "a", kGraceEndsUs, kS);
	skh_roster_builder_extend_grace(builder, 2 * kGraceEndsUs);
	EXPECT_FALSE(skh_roster_builder_expire(builder, kGraceEndsUs));
	EXPECT_TRUE(skh_roster_builder_expire(builder, 2 * kGraceEndsUs));
	EXPECT_FALSE(is_listed(builder, "a"));
	EXPECT_TRUE(is_listed(builder, "listed"));
	skh_roster_builder_free(builder);
}

TEST(Roster, ALeavingServerGetsNoGraceTimeAndAReturningOneStays)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();
	skh_server_t *leaving = make_server("a");

	leaving->is_leaving = true;
	(void)skh_roster_builder_put(builder, leaving);
	EXPECT_TRUE(skh_roster_builder_remove(builder, "a", kGraceEndsUs, kS));
	(void)skh_roster_builder_put(builder, make_server("b"));
	(void)skh_roster_builder_remove(builder, "b", kGraceEndsUs, kS);
	EXPECT_TRUE(skh_roster_builder_put(builder, make_server("b")));
	EXPECT_FALSE(skh_roster_builder_expire(builder, 100 * kS));
	EXPECT_TRUE(is_listed(builder, "b"));
	EXPECT_FALSE(skh_roster_builder_put(builder, make_server("b"))) << "nothing new";
	skh_roster_builder_free(builder);
}

// The store lists entries from its copy again: of a server that had left, of one that was leaving,
// and of one that has started again since.
TEST(Roster, OlderEntriesOfANewEraBringNoServerBack)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();
	const auto put = [builder](const char *id, int64_t started_ms, int64_t sequence,
				   bool is_leaving) {
		skh_server_t *server = make_server(id);

		server->started_unix_ms = started_ms;
		server->sequence = sequence;
		server->is_leaving = is_leaving;
		return skh_roster_builder_put(builder, server);
	};
	const auto is_leaving = [builder](const char *id) {
		skh_roster_t *roster = skh_roster_builder_snapshot(builder, 1);
		bool result = skh_roster_find(roster, id)->is_leaving;

		skh_roster_free(roster);
		return result;
	};

	(void)put("gone", 1000, 5, false);
	(void)put("leaving", 1000, 5, true);
	(void)put("restarted", 2000, 1, false);
	(void)put("alive", 1000, 5, false);
	(void)skh_roster_builder_remove(builder, "gone", 0, kS);
	skh_roster_builder_begin_era(builder);

	EXPECT_FALSE(put("gone", 1000, 4, false));
	EXPECT_FALSE(put("gone", 1000, 5, false));
	EXPECT_FALSE(is_listed(builder, "gone"));
	EXPECT_FALSE(put("leaving", 1000, 4, false));
	EXPECT_TRUE(is_leaving("leaving"));
	EXPECT_FALSE(put("restarted", 1000, 90, true));
	EXPECT_FALSE(is_leaving("restarted"));
	EXPECT_FALSE(put("alive", 1000, 3, true));
	EXPECT_FALSE(is_leaving("alive"));

	// What the servers have written since counts.
	EXPECT_TRUE(put("gone", 3000, 1, false)) << "a new start";
	EXPECT_TRUE(put("alive", 1000, 6, true));
	EXPECT_TRUE(is_leaving("alive"));
	skh_roster_builder_free(builder);
}

// Review case 7: the last entry before the removal differed only in what readers of the roster don't use. Guards
// against a copy of it that counts as newer than what is known.
TEST(Roster, CopyOfTheLastEntryBringsNoServerBack)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();
	const auto put = [builder](const char *id, int64_t sequence) {
		skh_server_t *server = make_server(id);

		server->started_unix_ms = 1000;
		server->sequence = sequence;
		return skh_roster_builder_put(builder, server);
	};

	for (const char *id : { "removed", "expired" }) {
		EXPECT_TRUE(put(id, 1));
		EXPECT_FALSE(put(id, 7)) << "nothing new for readers";
	}
	(void)skh_roster_builder_remove(builder, "removed", 0, kS);
	(void)skh_roster_builder_remove(builder, "expired", kGraceEndsUs, kS);
	EXPECT_TRUE(skh_roster_builder_expire(builder, kGraceEndsUs));
	skh_roster_builder_begin_era(builder);
	for (const char *id : { "removed", "expired" }) {
		EXPECT_FALSE(put(id, 1));
		EXPECT_FALSE(put(id, 7));
		EXPECT_FALSE(is_listed(builder, id)) << id;
		EXPECT_TRUE(put(id, 8)) << "written again by a server that is alive";
	}
	skh_roster_builder_free(builder);
}

// A start in the future, in an entry of another writer, kept the server's own entries out for good.
TEST(Roster, WhatIsWrittenAfterTheStoreCameBackCounts)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();
	const auto put = [builder](const char *id, int64_t started_ms, int64_t sequence,
				   int64_t revision) {
		skh_server_t *server = make_server(id);

		server->started_unix_ms = started_ms;
		server->sequence = sequence;
		server->revision = revision;
		return skh_roster_builder_put(builder, server);
	};
	const auto started_ms = [builder](const char *id) {
		skh_roster_t *roster = skh_roster_builder_snapshot(builder, 1);
		int64_t result = skh_roster_find(roster, id)->started_unix_ms;

		skh_roster_free(roster);
		return result;
	};

	for (const char *id : { "listed", "removed" })
		(void)put(id, 9000000000000, 5, 400);
	(void)skh_roster_builder_remove(builder, "removed", 0, kS);
	skh_roster_builder_begin_era(builder);
	// The copy has the revisions up to 300, which may be read again.
	EXPECT_FALSE(put("listed", 1000, 6, 280));
	skh_roster_builder_end_copy(builder, 300);
	EXPECT_FALSE(put("listed", 1000, 7, 300));
	EXPECT_FALSE(put("removed", 1000, 7, 290));
	EXPECT_EQ(started_ms("listed"), 9000000000000);
	for (const char *id : { "listed", "removed" }) {
		EXPECT_TRUE(put(id, 1000, 8, 301));
		EXPECT_EQ(started_ms(id), 1000);
	}
	// The next copy has what was written before, too.
	skh_roster_builder_begin_era(builder);
	EXPECT_FALSE(put("listed", 1000, 7, 302));
	skh_roster_builder_free(builder);
}

// Entries lapse while the store is away; the copy lists a server, so it is kept.
TEST(Roster, AServerThatAnOlderEntryListsIsNotRemoved)
{
	skh_roster_builder_t *builder = skh_roster_builder_new();
	skh_server_t *server = make_server("a");
	skh_server_t *older = make_server("a");

	server->sequence = 5;
	older->sequence = 4;
	(void)skh_roster_builder_put(builder, server);
	(void)skh_roster_builder_remove(builder, "a", kGraceEndsUs, kS);
	skh_roster_builder_begin_era(builder);
	EXPECT_FALSE(skh_roster_builder_put(builder, older));
	EXPECT_FALSE(skh_roster_builder_expire(builder, 100 * kS));
	EXPECT_TRUE(is_listed(builder, "a"));
	skh_roster_builder_free(builder);
}

// --- Event streams ---

TEST(EventStream, OnlyCompleteEventsPassAndAnotherServerResumesAfterThem)
{
	skh_event_stream_t events;
	skh_buffer_t out = SKH_BUFFER_INIT;

	skh_event_stream_init(&events);
	EXPECT_EQ(skh_event_stream_feed(&events, make_chunk("id: 1\ndata: a\n\nid: 2\nda"), &out),
		  SKH_EVENT_STREAM_OK);
	EXPECT_EQ(to_string(out), "id: 1\ndata: a\n\n");
	EXPECT_EQ(events.last_event_id, 1);
	EXPECT_FALSE(skh_event_stream_is_complete(&events));
	skh_event_stream_resume(&events);
	EXPECT_EQ(skh_event_stream_feed(&events, make_chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
					&out),
		  SKH_EVENT_STREAM_OK);
	EXPECT_EQ(to_string(out), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	EXPECT_TRUE(skh_event_stream_is_complete(&events));
	// A gap in the event ids is an error.
	EXPECT_EQ(skh_event_stream_feed(&events, make_chunk("id: 4\ndata: d\n\n"), &out),
		  SKH_EVENT_STREAM_OUT_OF_ORDER);
	skh_buffer_free(&out);
	skh_event_stream_clear(&events);
}

TEST(EventStream, AnEventThatNeverEndsIsRejected)
{
	const std::string piece(4096, 'x');
	skh_event_stream_t events;
	skh_buffer_t out = SKH_BUFFER_INIT;
	size_t fed = 0;

	skh_event_stream_init(&events);
	while (fed <= 4 * SKH_EVENT_STREAM_MAX_EVENT_BYTES &&
	       skh_event_stream_feed(&events, skh_chunk_make(piece.data(), piece.size()), &out) ==
		       SKH_EVENT_STREAM_OK)
		fed += piece.size();
	EXPECT_EQ(fed, SKH_EVENT_STREAM_MAX_EVENT_BYTES);
	EXPECT_EQ(out.len, 0U);
	skh_event_stream_clear(&events);
	skh_buffer_free(&out);
}

// A server sends an event in chunks of one byte. Guards against a search that begins at the event's start for
// each of them and stops the gateway for seconds.
TEST(EventStream, EventInSingleBytesTakesNoLongerThanItsBytes)
{
	skh_event_stream_t events;
	skh_buffer_t out = SKH_BUFFER_INIT;
	const std::string event = "id: 1\ndata: " + std::string(250000, 'x') + "\r\n\r\n";
	const int64_t started_us = skh_clock_now_us();

	skh_event_stream_init(&events);
	for (const char &byte : event)
		(void)skh_event_stream_feed(&events, skh_chunk_make(&byte, 1), &out);
	EXPECT_EQ(out.len, event.size());
	EXPECT_LT(skh_clock_now_us() - started_us, 2 * kS);
	skh_buffer_free(&out);
	skh_event_stream_clear(&events);
}

TEST(EventStream, AnySplitOfTheInputGivesTheSameEvents)
{
	const std::string stream = "id: 0\ndata: x\n\nid: 1\ndata: y\n\nid: 2\ndata: z\n\n";

	for (size_t split = 0; split <= stream.size(); split++) {
		skh_event_stream_t events;
		skh_buffer_t out = SKH_BUFFER_INIT;

		skh_event_stream_init(&events);
		EXPECT_EQ(skh_event_stream_feed(&events, make_chunk(stream.substr(0, split)), &out),
			  SKH_EVENT_STREAM_OK);
		EXPECT_EQ(skh_event_stream_feed(&events, make_chunk(stream.substr(split)), &out),
			  SKH_EVENT_STREAM_OK);
		EXPECT_EQ(to_string(out), stream);
		skh_buffer_free(&out);
		skh_event_stream_clear(&events);
	}
}

namespace
{

// The stream of one caller; @to_caller is what it has received.
struct Stream {
	skh_event_stream_t events;
	std::string to_caller;

	explicit Stream(int64_t expected_first_id = -1)
	{
		skh_event_stream_init(&events);
		skh_event_stream_expect_first(&events, expected_first_id);
	}
	~Stream()
	{
		skh_event_stream_clear(&events);
	}
	Stream(const Stream &) = delete;
	Stream &operator=(const Stream &) = delete;

	bool feed(const std::string &text)
	{
		skh_buffer_t out = SKH_BUFFER_INIT;
		skh_event_stream_status_t status =
			skh_event_stream_feed(&events, make_chunk(text), &out);

		to_caller += to_string(out);
		skh_buffer_free(&out);
		return status == SKH_EVENT_STREAM_OK;
	}

	// Passes on what the server sends where no other server can be asked.
	void feed_all(const std::string &text)
	{
		for (bool is_in_order = feed(text); !is_in_order; is_in_order = feed(""))
			skh_event_stream_accept_next(&events);
	}
};

std::string event(const std::string &id, int piece)
{
	return "id: " + id + "\ndata: piece " + std::to_string(piece) + "\n\n";
}

std::string events_between(int first, int last)
{
	std::string text;

	for (int i = first; i <= last; i++)
		text += event(std::to_string(i), i);
	return text;
}

const char *const kWrongIds[] = { "0", "1", "3", "9", "99", "x", "", "-1", "99999999999999999999" };

} // namespace

// A wrong id of the first event made the gateway drop the events up to that id, and the stream ended
// as complete.
TEST(EventStream, NoEventOfAResponseIsDroppedForAWrongId)
{
	for (int wrong = 1; wrong <= 6; wrong++) {
		for (const char *id : kWrongIds) {
			const std::string sent = events_between(1, wrong - 1) + event(id, wrong) +
						 events_between(wrong + 1, 6);
			Stream stream;

			stream.feed_all(sent);
			EXPECT_EQ(stream.to_caller, sent) << wrong << " " << id;
			EXPECT_TRUE(skh_event_stream_is_complete(&stream.events));
		}
	}
}

// After any break, another server goes on after the last event, or none is asked.
TEST(EventStream, AStreamWithAWrongIdResumesWithoutLossOrNotAtAll)
{
	for (int wrong = 1; wrong <= 6; wrong++) {
		for (const char *id : kWrongIds) {
			Stream stream;

			/* The connection breaks, unless the id is found to be wrong first. */
			(void)stream.feed(events_between(1, wrong - 1) + event(id, wrong));
			if (!skh_event_stream_can_resume(&stream.events))
				continue;
			int last = static_cast<int>(stream.events.last_event_id);

			skh_event_stream_resume(&stream.events);
			EXPECT_TRUE(stream.feed(events_between(last + 1, 6)));
			EXPECT_TRUE(skh_event_stream_is_complete(&stream.events));
			EXPECT_EQ(std::count(stream.to_caller.begin(), stream.to_caller.end(), 'p'),
				  6)
				<< wrong << " " << id << ": " << stream.to_caller;
		}
	}
}

TEST(EventStream, PositionIsCertainOnceTwoIdsAgree)
{
	Stream odd;

	EXPECT_TRUE(skh_event_stream_can_resume(&odd.events));
	EXPECT_TRUE(odd.feed(event("40", 1)));
	EXPECT_FALSE(skh_event_stream_can_resume(&odd.events));
	EXPECT_EQ(skh_event_stream_learned_first(&odd.events), -1);
	EXPECT_TRUE(odd.feed(event("41", 2)));
	EXPECT_TRUE(skh_event_stream_can_resume(&odd.events));
	EXPECT_EQ(skh_event_stream_learned_first(&odd.events), 40);

	/* The wrong first id is followed by its successor later on. */
	Stream wrong;

	wrong.feed_all(event("4", 1) + events_between(2, 5));
	EXPECT_EQ(skh_event_stream_learned_first(&wrong.events), -1);

	Stream continued(40);

	EXPECT_TRUE(continued.feed(event("40", 40)));
	EXPECT_TRUE(skh_event_stream_can_resume(&continued.events));

	Stream without_ids;

	EXPECT_TRUE(without_ids.feed("data: a\n\ndata: b\n\n"));
	EXPECT_FALSE(skh_event_stream_can_resume(&without_ids.events));
	EXPECT_TRUE(skh_event_stream_is_complete(&without_ids.events));
}

// A server that resumes a stream has a wrong id in its first event: events of two runs would be
// joined with one missing.
TEST(EventStream, ResumedEventsHaveToFollowTheLastOne)
{
	for (const char *id : { "2", "3", "4", "6", "9" }) {
		Stream stream;

		EXPECT_TRUE(stream.feed(events_between(1, 4)));
		skh_event_stream_resume(&stream.events);
		EXPECT_FALSE(stream.feed(event(id, 5) + event("6", 6))) << id;
		EXPECT_EQ(stream.to_caller, events_between(1, 4)) << id;
	}

	/* All events again, but not up to the last one. */
	Stream repeated;

	EXPECT_TRUE(repeated.feed(events_between(1, 4)));
	skh_event_stream_resume(&repeated.events);
	EXPECT_TRUE(repeated.feed(events_between(1, 2)));
	EXPECT_FALSE(skh_event_stream_is_complete(&repeated.events));
	EXPECT_TRUE(repeated.feed(events_between(3, 6)));
	EXPECT_TRUE(skh_event_stream_is_complete(&repeated.events));
	EXPECT_EQ(repeated.to_caller, events_between(1, 6));
}

// Calm traffic: comments, retry times and an end marker have no id.
TEST(EventStream, EventsWithoutAnIdPass)
{
	const std::string sent = ": open\n\nretry: 200\n\n" + events_between(0, 3) +
				 ": still here\n\n" + events_between(4, 4) + "data: [DONE]\n\n";
	Stream stream;

	EXPECT_TRUE(stream.feed(sent));
	EXPECT_EQ(stream.to_caller, sent);
	EXPECT_TRUE(skh_event_stream_is_complete(&stream.events));

	Stream resumed;

	EXPECT_TRUE(resumed.feed(events_between(0, 4)));
	skh_event_stream_resume(&resumed.events);
	EXPECT_TRUE(resumed.feed(": open\n\ndata: [DONE]\n\n"));
	EXPECT_TRUE(skh_event_stream_is_complete(&resumed.events));
	EXPECT_EQ(resumed.to_caller, events_between(0, 4) + ": open\n\ndata: [DONE]\n\n");
}

// --- HTTP messages ---

namespace
{

bool parse_request(const std::string &text, skh_http_message_t *message, skh_error_t *err)
{
	static const skh_http_message_ops_t ops = {};
	size_t used = 0;

	skh_http_message_reset(message, HTTP_REQUEST, &ops, nullptr);
	return skh_http_message_feed(message, make_chunk(text), &used, err);
}

} // namespace

TEST(HttpMessage, SmuggledRequestsAreRejected)
{
	const char *const bad[] = {
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
		"chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
		"POST / HTTP/1.1\r\nContent-Length : 5\r\n\r\nhello",
		"GET / HTTP/1.1\r\nA b: c\r\n\r\n",
		"\x01\x02\x03",
	};

	for (const char *text : bad) {
		skh_http_message_t message = {};
		skh_error_t err = {};

		EXPECT_FALSE(parse_request(text, &message, &err)) << text;
		skh_http_message_free(&message);
	}
}

TEST(HttpMessage, StopsAtTheEndOfOneMessage)
{
	const std::string two =
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n";
	static const skh_http_message_ops_t ops = {};
	skh_http_message_t message = {};
	skh_error_t err = {};
	size_t used = 0;

	skh_http_message_reset(&message, HTTP_REQUEST, &ops, nullptr);
	ASSERT_TRUE(skh_http_message_feed(&message, make_chunk(two), &used, &err));
	EXPECT_TRUE(message.is_complete);
	EXPECT_EQ(two.substr(used), "GET /b HTTP/1.1\r\n\r\n");
	EXPECT_EQ(to_string(message.body), "hi");
	skh_http_message_free(&message);
}

TEST(HttpMessage, EnforcesTheLimitsOfHeadersAndBody)
{
	static const skh_http_message_ops_t ops = {};
	skh_http_message_t message = {};
	skh_error_t err = {};
	size_t used = 0;

	message.max_header_bytes = 64;
	message.max_body_bytes = 4;
	skh_http_message_reset(&message, HTTP_REQUEST, &ops, nullptr);
	EXPECT_FALSE(skh_http_message_feed(
		&message, make_chunk("GET / HTTP/1.1\r\nA: " + std::string(100, 'x') + "\r\n\r\n"),
		&used, &err));
	EXPECT_EQ(err.kind, SKH_HEADERS_TOO_LARGE);
	skh_http_message_reset(&message, HTTP_REQUEST, &ops, nullptr);
	EXPECT_FALSE(skh_http_message_feed(
		&message, make_chunk("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n"), &used, &err));
	EXPECT_EQ(err.kind, SKH_TOO_LARGE);
	skh_http_message_reset(&message, HTTP_REQUEST, &ops, nullptr);
	EXPECT_FALSE(skh_http_message_feed(
		&message,
		make_chunk("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			   "5\r\nhello\r\n0\r\n\r\n"),
		&used, &err));
	EXPECT_EQ(err.kind, SKH_TOO_LARGE);
	skh_http_message_free(&message);
}

// --- Routing ---

TEST(Routing, TheLongestPrefixOfTheHostWinsAndKeysHaveOneOwner)
{
	skh_routing_t *routing = skh_routing_new();
	skh_service_info_t service = {};
	skh_key_owner_t *owner = g_new0(skh_key_owner_t, 1);
	const char *const prefixes[] = { "/a/", "/a/b/", "/" };

	service.name = g_strdup("s");
	service.health_path = g_strdup("/");
	g_array_append_val(routing->services, service);
	for (const char *prefix : prefixes) {
		skh_route_t route = {};

		route.name = g_strdup(prefix);
		route.host = g_strdup("Host.Example");
		route.path_prefix = g_strdup(prefix);
		route.n_splits = 1;
		route.splits[0] = { 0, 1 };
		g_array_append_val(routing->routes, route);
	}
	owner->customer = g_strdup("c");
	(void)g_hash_table_replace(routing->keys, g_strdup("k1"), owner);
	skh_routing_seal(routing);
	EXPECT_STREQ(skh_routing_find_route(routing, "host.example:80", "/a/b/c?x=/y/")->name,
		     "/a/b/");
	EXPECT_STREQ(skh_routing_find_route(routing, "HOST.example", "/a/")->name, "/a/");
	EXPECT_STREQ(skh_routing_find_route(routing, "host.example", "/ab/")->name, "/");
	EXPECT_EQ(skh_routing_find_route(routing, "other", "/a/"), nullptr);
	EXPECT_NE(skh_routing_find_key_owner(routing, "Bearer", "Bearer k1"), nullptr);
	EXPECT_EQ(skh_routing_find_key_owner(routing, "Bearer", "Bearer k"), nullptr);
	EXPECT_EQ(skh_routing_find_key_owner(routing, "Bearer", "Basic k1"), nullptr);
	EXPECT_EQ(skh_routing_find_key_owner(routing, "Bearer", nullptr), nullptr);
	skh_routing_free(routing);
}

TEST(Routing, SelectsServicesInProportionToTheirWeights)
{
	skh_route_t route = {};
	int n_first = 0;

	route.n_splits = 2;
	route.splits[0] = { 3, 90 };
	route.splits[1] = { 4, 10 };
	for (int i = 0; i < 1000; i++)
		n_first += skh_routing_select_service(&route, i / 1000.0) == 3;
	EXPECT_EQ(n_first, 900);
}

// --- Group breaker ---

// A rank is down for 5 s and all ranks of its group reject requests. Without the breaker each
// request is sent to four ranks.
TEST(GroupBreaker, ARejectingGroupGetsOnlyProbes)
{
	skh_group_breaker_t breaker = {};
	int n_sent = 0;
	int64_t recovered_us = 0;

	for (int64_t now = kS; now < 7 * kS; now += 20 * kMs) {
		bool is_rejecting = now < 6 * kS;

		if (!skh_group_breaker_can_send(&breaker, now))
			continue;
		skh_group_breaker_record_send(&breaker, now);
		n_sent += is_rejecting;
		if (is_rejecting) {
			skh_group_breaker_record_rejection(&breaker, now);
		} else {
			skh_group_breaker_record_response(&breaker);
			recovered_us = recovered_us ? recovered_us : now;
		}
	}
	EXPECT_LE(n_sent, 40); // 250 arrivals, 1,000 attempts without the breaker
	EXPECT_LE(recovered_us, 6 * kS + 200 * kMs);
	EXPECT_FALSE(skh_group_breaker_is_tripped(&breaker));
}

// All instances lose power; a rank restarts 3 s after the first rejection, and the group takes
// 0.6 s to form.
TEST(GroupBreaker, RequestsWaitWhileTheGroupForms)
{
	skh_group_breaker_t breaker = {};

	for (int64_t now = kS; now < 4 * kS; now += 150 * kMs)
		skh_group_breaker_record_rejection(&breaker, now);
	EXPECT_TRUE(skh_group_breaker_is_down(&breaker, 4 * kS));
	skh_group_breaker_record_rank_start(&breaker, 4 * kS);
	EXPECT_FALSE(skh_group_breaker_is_down(&breaker, 4 * kS + 600 * kMs));
	EXPECT_TRUE(skh_group_breaker_is_tripped(&breaker));
	EXPECT_TRUE(skh_group_breaker_is_down(&breaker, 6 * kS));
	skh_group_breaker_record_response(&breaker);
	EXPECT_FALSE(skh_group_breaker_is_down(&breaker, 6 * kS));
}

// If the first queued request were the probe each time, rejections would use up its attempts.
TEST(RequestQueue, ProbesAlternateBetweenQueuedRequests)
{
	skh_request_queue_t *queue = skh_request_queue_new();
	skh_queued_request_t first = {};
	skh_queued_request_t second = {};

	first.dispatch_objective_us = 2 * kS;
	second.dispatch_objective_us = 3 * kS;
	first.index = second.index = -1;
	skh_request_queue_enqueue(queue, &first);
	skh_request_queue_enqueue(queue, &second);
	EXPECT_EQ(skh_request_queue_peek_probe(queue, kS), &first);
	first.was_rejected_as_probe = true;
	EXPECT_EQ(skh_request_queue_peek_probe(queue, kS), &second);
	EXPECT_EQ(skh_request_queue_peek(queue, kS), &first);
	second.was_rejected_as_probe = true;
	EXPECT_EQ(skh_request_queue_peek_probe(queue, kS), &first);
	skh_request_queue_free(queue);
}

// One rank freezes for 4 s and the others wait for it; 10 requests arrive per second.
TEST(GroupBreaker, ASilentGroupGetsOnlyAFewRequests)
{
	skh_group_breaker_t breaker = {};
	int n_sent = 0;
	int64_t recovered_us = 0;

	for (int64_t now = kS; now < 7 * kS; now += 20 * kMs) {
		bool is_frozen = now >= 2 * kS && now < 6 * kS;

		if (!is_frozen) {
			skh_group_breaker_record_response(&breaker);
			recovered_us = now >= 6 * kS && recovered_us == 0 ? now : recovered_us;
		}
		if (now % (100 * kMs) != 0 || !skh_group_breaker_can_send(&breaker, now))
			continue;
		skh_group_breaker_record_send(&breaker, now);
		n_sent += is_frozen;
	}
	EXPECT_LE(n_sent, 8); // 40 without the breaker
	EXPECT_EQ(recovered_us, 6 * kS);
	EXPECT_TRUE(skh_group_breaker_can_send(&breaker, 7 * kS));
}

// A single request with a long prompt also silences a group: the requests after it wait, but only
// until the next probe.
TEST(GroupBreaker, ASilentGroupIsProbed)
{
	skh_group_breaker_t breaker = {};

	skh_group_breaker_record_send(&breaker, kS);
	EXPECT_TRUE(skh_group_breaker_can_send(&breaker, kS + 200 * kMs));
	EXPECT_FALSE(skh_group_breaker_can_send(&breaker, kS + 600 * kMs));
	EXPECT_TRUE(skh_group_breaker_can_send(&breaker, 2 * kS + 1 * kMs));
	skh_group_breaker_record_send(&breaker, 2 * kS + 1 * kMs);
	EXPECT_FALSE(skh_group_breaker_can_send(&breaker, 2 * kS + 500 * kMs));
	skh_group_breaker_record_response(&breaker);
	EXPECT_TRUE(skh_group_breaker_can_send(&breaker, 2 * kS + 500 * kMs));
}

// A rank died and its group forms again: the next probe must not wait for the 1 s between
// the probes of a silent group.
TEST(GroupBreaker, AFailedAttemptEndsSilence)
{
	skh_group_breaker_t breaker = {};

	skh_group_breaker_record_send(&breaker, kS);
	skh_group_breaker_record_failure(&breaker);
	EXPECT_TRUE(skh_group_breaker_can_send(&breaker, kS + 600 * kMs));
}
