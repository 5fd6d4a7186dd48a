// One request's life in virtual time: what may be repeated, and what is known.
#include "relay.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kDeadline = 1000000;

skh_relay_t relay_of(bool idempotent, bool stream)
{
	skh_relay_t relay;

	skh_relay_init(&relay, idempotent, stream, kDeadline);
	return relay;
}

skh_error_t error_of(skh_kind_t kind)
{
	skh_error_t err;

	(void)skh_error_set(&err, kind, "for a test");
	return err;
}

TEST(Relay, WholeAnswerFinishes)
{
	skh_relay_t relay = relay_of(true, true);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_started(&relay, 7), SKH_ACT_WAIT);
	EXPECT_EQ(skh_relay_data(&relay, 7, 0, 2), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_data(&relay, 7, 1, 1), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_end(&relay, 7, 2, nullptr), SKH_ACT_FINISH);
	EXPECT_EQ(relay.events, 3U);
	EXPECT_EQ(skh_relay_run(&relay), SKH_RUN_RAN);
}

TEST(Relay, LateFramesOfAnAbandonedAttemptAreDropped)
{
	skh_relay_t relay = relay_of(true, true);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_data(&relay, 7, 0, 1), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_lost(&relay, 7, SKH_LOSS_SILENT), SKH_ACT_PLACE);
	skh_relay_sent(&relay, 8);
	EXPECT_EQ(skh_relay_data(&relay, 7, 1, 1), SKH_ACT_WAIT);
	EXPECT_EQ(skh_relay_end(&relay, 7, 2, nullptr), SKH_ACT_WAIT);
	EXPECT_EQ(relay.events, 1U);
	EXPECT_EQ(skh_relay_data(&relay, 8, 0, 1), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_end(&relay, 8, 1, nullptr), SKH_ACT_FINISH);
}

TEST(Relay, AGapInThePiecesIsNeverAWholeAnswer)
{
	skh_relay_t relay = relay_of(true, true);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_data(&relay, 7, 0, 1), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_data(&relay, 7, 2, 1), SKH_ACT_PLACE);
}

TEST(Relay, AMissingLastPieceIsNeverAWholeAnswer)
{
	skh_relay_t relay = relay_of(true, false);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_data(&relay, 7, 0, 0), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_end(&relay, 7, 2, nullptr), SKH_ACT_PLACE);
}

TEST(Relay, RefusedMeansNotRunAndIsPlacedElsewhere)
{
	skh_relay_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_LEAVING);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_refused(&relay, 7, &err), SKH_ACT_PLACE);
	err = error_of(SKH_NO_BACKEND);
	EXPECT_EQ(skh_relay_not_placed(&relay, &err), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.run, SKH_RUN_NOT_RUN);
}

TEST(Relay, ARefusalAfterTheStartWasAnnouncedIsStillNotRun)
{
	skh_relay_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_NO_BACKEND);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_started(&relay, 7), SKH_ACT_WAIT);
	EXPECT_EQ(skh_relay_refused(&relay, 7, &err), SKH_ACT_PLACE);
	EXPECT_EQ(skh_relay_not_placed(&relay, &err), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.run, SKH_RUN_NOT_RUN);
}

TEST(Relay, ARefusalThatNoOtherSidecarCanMendEndsTheRequest)
{
	skh_relay_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_KEY_REUSED);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_refused(&relay, 7, &err), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.run, SKH_RUN_NOT_RUN);
}

TEST(Relay, ARecordedRunIsKnownToHaveRun)
{
	skh_relay_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_ALREADY_RAN);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_end(&relay, 7, 0, &err), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.run, SKH_RUN_RAN);
}

TEST(Relay, ARefusalOfAnOldAttemptSaysNothingAboutTheNewOne)
{
	skh_relay_t relay = relay_of(true, false);
	skh_error_t err = error_of(SKH_OVERLOADED);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_lost(&relay, 7, SKH_LOSS_SILENT), SKH_ACT_PLACE);
	skh_relay_sent(&relay, 8);
	EXPECT_EQ(skh_relay_refused(&relay, 7, &err), SKH_ACT_WAIT);
	EXPECT_EQ(relay.attempt, 8U);
}

TEST(Relay, NonIdempotentWorkIsNotRepeatedAfterALoss)
{
	for (bool started : { false, true }) {
		skh_relay_t relay = relay_of(false, false);

		skh_relay_sent(&relay, 7);
		if (started)
			(void)skh_relay_started(&relay, 7);
		EXPECT_EQ(skh_relay_lost(&relay, 7, SKH_LOSS_REPLACED), SKH_ACT_FAIL);
		EXPECT_EQ(relay.error.run, SKH_RUN_UNKNOWN);
	}
}

TEST(Relay, SilenceAloneLeavesNonIdempotentWorkWaiting)
{
	skh_relay_t relay = relay_of(false, false);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_lost(&relay, 7, SKH_LOSS_SILENT), SKH_ACT_WAIT);
	EXPECT_EQ(skh_relay_data(&relay, 7, 0, 0), SKH_ACT_FORWARD);
	EXPECT_EQ(skh_relay_end(&relay, 7, 1, nullptr), SKH_ACT_FINISH);
}

TEST(Relay, SilenceUntilTheDeadlineIsUnknownNotNotRun)
{
	for (bool idempotent : { false, true }) {
		skh_relay_t relay = relay_of(idempotent, false);

		skh_relay_sent(&relay, 7);
		EXPECT_EQ(skh_relay_timeout(&relay), SKH_ACT_FAIL);
		EXPECT_EQ(relay.error.kind, SKH_DEADLINE_PASSED);
		EXPECT_EQ(relay.error.run, SKH_RUN_UNKNOWN);
	}
}

TEST(Relay, ADeadlineBeforeAnyAttemptIsNotRun)
{
	skh_relay_t relay = relay_of(true, false);

	EXPECT_EQ(skh_relay_timeout(&relay), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.run, SKH_RUN_NOT_RUN);
}

TEST(Relay, OneRequestLosesAtMostTwoBackendServers)
{
	skh_relay_t relay = relay_of(true, true);
	uint32_t losses = 0;
	skh_action_t action = SKH_ACT_PLACE;

	for (uint64_t attempt = 1; action == SKH_ACT_PLACE; attempt++) {
		skh_relay_sent(&relay, attempt);
		action = skh_relay_lost(&relay, attempt, SKH_LOSS_REPLACED);
		losses++;
	}
	EXPECT_EQ(action, SKH_ACT_FAIL);
	EXPECT_EQ(losses, 2U);
}

TEST(Relay, ACutStreamThatCantBeResumedSaysSo)
{
	skh_relay_t relay = relay_of(true, true);

	skh_relay_sent(&relay, 1);
	(void)skh_relay_data(&relay, 1, 0, 1);
	EXPECT_EQ(skh_relay_lost(&relay, 1, SKH_LOSS_REPLACED), SKH_ACT_PLACE);
	skh_relay_sent(&relay, 2);
	EXPECT_EQ(skh_relay_lost(&relay, 2, SKH_LOSS_REPLACED), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.kind, SKH_CUT_OFF);
}

TEST(Relay, AFaultOfTheBackendServerLeavesNonIdempotentWorkUnknown)
{
	skh_relay_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_BACKEND_FAILED);

	skh_relay_sent(&relay, 7);
	(void)skh_relay_started(&relay, 7);
	EXPECT_EQ(skh_relay_end(&relay, 7, 0, &err), SKH_ACT_FAIL);
	EXPECT_EQ(relay.error.kind, SKH_BACKEND_FAILED);
	EXPECT_EQ(relay.error.run, SKH_RUN_UNKNOWN);
}

TEST(Relay, NothingCountsAfterTheEnd)
{
	skh_relay_t relay = relay_of(true, false);

	skh_relay_sent(&relay, 7);
	EXPECT_EQ(skh_relay_end(&relay, 7, 0, nullptr), SKH_ACT_FINISH);
	EXPECT_EQ(skh_relay_data(&relay, 7, 0, 0), SKH_ACT_WAIT);
	EXPECT_EQ(skh_relay_lost(&relay, 7, SKH_LOSS_REPLACED), SKH_ACT_WAIT);
	EXPECT_EQ(skh_relay_timeout(&relay), SKH_ACT_WAIT);
}

} // namespace
