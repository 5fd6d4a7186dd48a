// One request's life in virtual time: what may be repeated, and what is known.
#include "request_fsm.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kDeadline = 1000000;

skh_request_fsm_t relay_of(bool idempotent, bool stream)
{
	skh_request_fsm_t relay;

	skh_request_fsm_init(&relay, idempotent, stream, kDeadline);
	return relay;
}

skh_error_t error_of(skh_error_kind_t kind)
{
	skh_error_t err;

	(void)skh_error_set(&err, kind, "for a test");
	return err;
}

TEST(Relay, WholeAnswerFinishes)
{
	skh_request_fsm_t relay = relay_of(true, true);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_started(&relay, 7), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 0, 2), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 1, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 2, nullptr), SKH_REQUEST_ACTION_FINISH);
	EXPECT_EQ(relay.forwarded_events, 3U);
	EXPECT_EQ(skh_request_fsm_run_state(&relay), SKH_RUN_RAN);
}

TEST(Relay, LateFramesOfAnAbandonedAttemptAreDropped)
{
	skh_request_fsm_t relay = relay_of(true, true);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 0, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_lost(&relay, 7, SKH_SIDECAR_LOSS_SILENT),
		  SKH_REQUEST_ACTION_DISPATCH);
	skh_request_fsm_on_sent(&relay, 8);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 1, 1), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 2, nullptr), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(relay.forwarded_events, 1U);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 8, 0, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 8, 1, nullptr), SKH_REQUEST_ACTION_FINISH);
}

TEST(Relay, AGapInThePiecesIsNeverAWholeAnswer)
{
	skh_request_fsm_t relay = relay_of(true, true);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 0, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 2, 1), SKH_REQUEST_ACTION_DISPATCH);
}

TEST(Relay, AMissingLastPieceIsNeverAWholeAnswer)
{
	skh_request_fsm_t relay = relay_of(true, false);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 0, 0), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 2, nullptr), SKH_REQUEST_ACTION_DISPATCH);
}

TEST(Relay, RefusedMeansNotRunAndIsPlacedElsewhere)
{
	skh_request_fsm_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_LEAVING);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_rejected(&relay, 7, &err), SKH_REQUEST_ACTION_DISPATCH);
	err = error_of(SKH_NO_BACKEND);
	EXPECT_EQ(skh_request_fsm_on_dispatch_failed(&relay, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(Relay, ARefusalAfterTheStartWasAnnouncedIsStillNotRun)
{
	skh_request_fsm_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_NO_BACKEND);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_started(&relay, 7), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_rejected(&relay, 7, &err), SKH_REQUEST_ACTION_DISPATCH);
	EXPECT_EQ(skh_request_fsm_on_dispatch_failed(&relay, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(Relay, ARefusalThatNoOtherSidecarCanMendEndsTheRequest)
{
	skh_request_fsm_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_KEY_REUSED);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_rejected(&relay, 7, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(Relay, ARecordedRunIsKnownToHaveRun)
{
	skh_request_fsm_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_ALREADY_RAN);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 0, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.run_state, SKH_RUN_RAN);
}

TEST(Relay, ARefusalOfAnOldAttemptSaysNothingAboutTheNewOne)
{
	skh_request_fsm_t relay = relay_of(true, false);
	skh_error_t err = error_of(SKH_OVERLOADED);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_lost(&relay, 7, SKH_SIDECAR_LOSS_SILENT),
		  SKH_REQUEST_ACTION_DISPATCH);
	skh_request_fsm_on_sent(&relay, 8);
	EXPECT_EQ(skh_request_fsm_on_rejected(&relay, 7, &err), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(relay.attempt, 8U);
}

TEST(Relay, NonIdempotentWorkIsNotRepeatedAfterALoss)
{
	for (bool started : { false, true }) {
		skh_request_fsm_t relay = relay_of(false, false);

		skh_request_fsm_on_sent(&relay, 7);
		if (started)
			(void)skh_request_fsm_on_started(&relay, 7);
		EXPECT_EQ(skh_request_fsm_on_lost(&relay, 7, SKH_SIDECAR_LOSS_REPLACED),
			  SKH_REQUEST_ACTION_FAIL);
		EXPECT_EQ(relay.error.run_state, SKH_RUN_UNKNOWN);
	}
}

TEST(Relay, SilenceAloneLeavesNonIdempotentWorkWaiting)
{
	skh_request_fsm_t relay = relay_of(false, false);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_lost(&relay, 7, SKH_SIDECAR_LOSS_SILENT),
		  SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 0, 0), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 1, nullptr), SKH_REQUEST_ACTION_FINISH);
}

TEST(Relay, SilenceUntilTheDeadlineIsUnknownNotNotRun)
{
	for (bool idempotent : { false, true }) {
		skh_request_fsm_t relay = relay_of(idempotent, false);

		skh_request_fsm_on_sent(&relay, 7);
		EXPECT_EQ(skh_request_fsm_on_deadline(&relay), SKH_REQUEST_ACTION_FAIL);
		EXPECT_EQ(relay.error.kind, SKH_DEADLINE_PASSED);
		EXPECT_EQ(relay.error.run_state, SKH_RUN_UNKNOWN);
	}
}

TEST(Relay, ADeadlineBeforeAnyAttemptIsNotRun)
{
	skh_request_fsm_t relay = relay_of(true, false);

	EXPECT_EQ(skh_request_fsm_on_deadline(&relay), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(Relay, OneRequestLosesAtMostTwoBackendServers)
{
	skh_request_fsm_t relay = relay_of(true, true);
	uint32_t losses = 0;
	skh_request_action_t action = SKH_REQUEST_ACTION_DISPATCH;

	for (uint64_t attempt = 1; action == SKH_REQUEST_ACTION_DISPATCH; attempt++) {
		skh_request_fsm_on_sent(&relay, attempt);
		action = skh_request_fsm_on_lost(&relay, attempt, SKH_SIDECAR_LOSS_REPLACED);
		losses++;
	}
	EXPECT_EQ(action, SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(losses, 2U);
}

TEST(Relay, ACutStreamThatCantBeResumedSaysSo)
{
	skh_request_fsm_t relay = relay_of(true, true);

	skh_request_fsm_on_sent(&relay, 1);
	(void)skh_request_fsm_on_data(&relay, 1, 0, 1);
	EXPECT_EQ(skh_request_fsm_on_lost(&relay, 1, SKH_SIDECAR_LOSS_REPLACED),
		  SKH_REQUEST_ACTION_DISPATCH);
	skh_request_fsm_on_sent(&relay, 2);
	EXPECT_EQ(skh_request_fsm_on_lost(&relay, 2, SKH_SIDECAR_LOSS_REPLACED),
		  SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.kind, SKH_CUT_OFF);
}

TEST(Relay, AFaultOfTheBackendServerLeavesNonIdempotentWorkUnknown)
{
	skh_request_fsm_t relay = relay_of(false, false);
	skh_error_t err = error_of(SKH_BACKEND_FAILED);

	skh_request_fsm_on_sent(&relay, 7);
	(void)skh_request_fsm_on_started(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 0, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(relay.error.kind, SKH_BACKEND_FAILED);
	EXPECT_EQ(relay.error.run_state, SKH_RUN_UNKNOWN);
}

TEST(Relay, NothingCountsAfterTheEnd)
{
	skh_request_fsm_t relay = relay_of(true, false);

	skh_request_fsm_on_sent(&relay, 7);
	EXPECT_EQ(skh_request_fsm_on_end(&relay, 7, 0, nullptr), SKH_REQUEST_ACTION_FINISH);
	EXPECT_EQ(skh_request_fsm_on_data(&relay, 7, 0, 0), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_lost(&relay, 7, SKH_SIDECAR_LOSS_REPLACED),
		  SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_deadline(&relay), SKH_REQUEST_ACTION_WAIT);
}

} // namespace
