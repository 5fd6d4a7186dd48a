// Guards against retries of a non-idempotent request that may have run, incomplete responses
// taken for complete ones, and a wrong report of whether a request ran.
#include "request_fsm.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kDeadlineUs = 1000000;

skh_request_fsm_t make_fsm(bool idempotent, bool is_streaming)
{
	skh_request_fsm_t fsm;

	skh_request_fsm_init(&fsm, idempotent, is_streaming, kDeadlineUs);
	return fsm;
}

skh_error_t make_error(skh_error_kind_t kind)
{
	skh_error_t err;

	(void)skh_error_set(&err, kind, "for a test");
	return err;
}

TEST(RequestFsm, CompleteResponseFinishes)
{
	skh_request_fsm_t fsm = make_fsm(true, true);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_started(&fsm, 7), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 0, 2), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 1, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 2, nullptr), SKH_REQUEST_ACTION_FINISH);
	EXPECT_EQ(fsm.forwarded_events, 3U);
	EXPECT_EQ(skh_request_fsm_run_state(&fsm), SKH_RUN_RAN);
}

TEST(RequestFsm, LateFramesOfAnAbandonedAttemptAreDropped)
{
	skh_request_fsm_t fsm = make_fsm(true, true);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 0, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 7, SKH_SIDECAR_LOSS_SILENT),
		  SKH_REQUEST_ACTION_DISPATCH);
	skh_request_fsm_on_sent(&fsm, 8);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 1, 1), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 2, nullptr), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(fsm.forwarded_events, 1U);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 8, 0, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 8, 1, nullptr), SKH_REQUEST_ACTION_FINISH);
}

TEST(RequestFsm, AGapInTheDataFramesRetriesTheRequest)
{
	skh_request_fsm_t fsm = make_fsm(true, true);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 0, 1), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 2, 1), SKH_REQUEST_ACTION_DISPATCH);
}

TEST(RequestFsm, AMissingLastDataFrameRetriesTheRequest)
{
	skh_request_fsm_t fsm = make_fsm(true, false);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 0, 0), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 2, nullptr), SKH_REQUEST_ACTION_DISPATCH);
}

TEST(RequestFsm, ARejectedAttemptIsNotRunAndIsRetried)
{
	skh_request_fsm_t fsm = make_fsm(false, false);
	skh_error_t err = make_error(SKH_LEAVING);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_rejected(&fsm, 7, &err), SKH_REQUEST_ACTION_DISPATCH);
	err = make_error(SKH_NO_BACKEND);
	EXPECT_EQ(skh_request_fsm_on_dispatch_failed(&fsm, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(RequestFsm, ARejectionAfterStartedReportsNotRun)
{
	skh_request_fsm_t fsm = make_fsm(false, false);
	skh_error_t err = make_error(SKH_NO_BACKEND);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_started(&fsm, 7), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_rejected(&fsm, 7, &err), SKH_REQUEST_ACTION_DISPATCH);
	EXPECT_EQ(skh_request_fsm_on_dispatch_failed(&fsm, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(RequestFsm, ARejectionThatHoldsForAllSidecarsFailsTheRequest)
{
	skh_request_fsm_t fsm = make_fsm(false, false);
	skh_error_t err = make_error(SKH_KEY_REUSED);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_rejected(&fsm, 7, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(RequestFsm, ARecordedRunIsReportedAsRan)
{
	skh_request_fsm_t fsm = make_fsm(false, false);
	skh_error_t err = make_error(SKH_ALREADY_RAN);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 0, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.run_state, SKH_RUN_RAN);
}

TEST(RequestFsm, ARejectionOfAnEarlierAttemptIsIgnored)
{
	skh_request_fsm_t fsm = make_fsm(true, false);
	skh_error_t err = make_error(SKH_OVERLOADED);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 7, SKH_SIDECAR_LOSS_SILENT),
		  SKH_REQUEST_ACTION_DISPATCH);
	skh_request_fsm_on_sent(&fsm, 8);
	EXPECT_EQ(skh_request_fsm_on_rejected(&fsm, 7, &err), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(fsm.attempt, 8U);
}

TEST(RequestFsm, ANonIdempotentRequestIsNotRetriedAfterALoss)
{
	for (bool started : { false, true }) {
		skh_request_fsm_t fsm = make_fsm(false, false);

		skh_request_fsm_on_sent(&fsm, 7);
		if (started)
			(void)skh_request_fsm_on_started(&fsm, 7);
		EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 7, SKH_SIDECAR_LOSS_REPLACED),
			  SKH_REQUEST_ACTION_FAIL);
		EXPECT_EQ(fsm.error.run_state, SKH_RUN_UNKNOWN);
	}
}

TEST(RequestFsm, ANonIdempotentRequestWaitsForASilentSidecar)
{
	skh_request_fsm_t fsm = make_fsm(false, false);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 7, SKH_SIDECAR_LOSS_SILENT),
		  SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 0, 0), SKH_REQUEST_ACTION_FORWARD);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 1, nullptr), SKH_REQUEST_ACTION_FINISH);
}

TEST(RequestFsm, NoFrameBeforeTheDeadlineReportsUnknown)
{
	for (bool idempotent : { false, true }) {
		skh_request_fsm_t fsm = make_fsm(idempotent, false);

		skh_request_fsm_on_sent(&fsm, 7);
		EXPECT_EQ(skh_request_fsm_on_deadline(&fsm), SKH_REQUEST_ACTION_FAIL);
		EXPECT_EQ(fsm.error.kind, SKH_DEADLINE_PASSED);
		EXPECT_EQ(fsm.error.run_state, SKH_RUN_UNKNOWN);
	}
}

TEST(RequestFsm, ADeadlineBeforeAnyAttemptReportsNotRun)
{
	skh_request_fsm_t fsm = make_fsm(true, false);

	EXPECT_EQ(skh_request_fsm_on_deadline(&fsm), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.run_state, SKH_RUN_NOT_RUN);
}

TEST(RequestFsm, ARequestFailsAfterTwoLosses)
{
	skh_request_fsm_t fsm = make_fsm(true, true);
	uint32_t n_losses = 0;
	skh_request_action_t action = SKH_REQUEST_ACTION_DISPATCH;

	for (uint64_t attempt = 1; action == SKH_REQUEST_ACTION_DISPATCH; attempt++) {
		skh_request_fsm_on_sent(&fsm, attempt);
		action = skh_request_fsm_on_lost(&fsm, attempt, SKH_SIDECAR_LOSS_REPLACED);
		n_losses++;
	}
	EXPECT_EQ(action, SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(n_losses, 2U);
}

TEST(RequestFsm, AStreamThatCannotBeResumedFailsAsCutOff)
{
	skh_request_fsm_t fsm = make_fsm(true, true);

	skh_request_fsm_on_sent(&fsm, 1);
	(void)skh_request_fsm_on_data(&fsm, 1, 0, 1);
	EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 1, SKH_SIDECAR_LOSS_REPLACED),
		  SKH_REQUEST_ACTION_DISPATCH);
	skh_request_fsm_on_sent(&fsm, 2);
	EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 2, SKH_SIDECAR_LOSS_REPLACED),
		  SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.kind, SKH_CUT_OFF);
}

TEST(RequestFsm, ABackendFailureLeavesANonIdempotentRequestUnknown)
{
	skh_request_fsm_t fsm = make_fsm(false, false);
	skh_error_t err = make_error(SKH_BACKEND_FAILED);

	skh_request_fsm_on_sent(&fsm, 7);
	(void)skh_request_fsm_on_started(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 0, &err), SKH_REQUEST_ACTION_FAIL);
	EXPECT_EQ(fsm.error.kind, SKH_BACKEND_FAILED);
	EXPECT_EQ(fsm.error.run_state, SKH_RUN_UNKNOWN);
}

TEST(RequestFsm, EventsAfterTheEndAreIgnored)
{
	skh_request_fsm_t fsm = make_fsm(true, false);

	skh_request_fsm_on_sent(&fsm, 7);
	EXPECT_EQ(skh_request_fsm_on_end(&fsm, 7, 0, nullptr), SKH_REQUEST_ACTION_FINISH);
	EXPECT_EQ(skh_request_fsm_on_data(&fsm, 7, 0, 0), SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_lost(&fsm, 7, SKH_SIDECAR_LOSS_REPLACED),
		  SKH_REQUEST_ACTION_WAIT);
	EXPECT_EQ(skh_request_fsm_on_deadline(&fsm), SKH_REQUEST_ACTION_WAIT);
}

} // namespace
