#include "group_breaker.h"

/* Between two probes of a closed group; it forms anew in some hundred ms. */
#define PROBE_US ((int64_t)150000)
/* A refusal or two may be one rank's; after this the group is taken for broken. */
#define CLOSED_US ((int64_t)500000)

/* From a rank's start to passes: 0.6 s to form, and others may start a little later. */
#define FORMING_US ((int64_t)1500000)

/* No event of any stream for so long is no pass of the group: those last 0.05 to 0.2 s. */
#define SILENT_US ((int64_t)400000)
/* Streams that are open show by themselves when it goes on; a probe serves when none is. */
#define SILENT_PROBE_US ((int64_t)1000000)

void skh_group_breaker_record_rejection(skh_group_breaker_t *gate, int64_t now_us)
{
	if (gate->tripped_since_us == 0)
		gate->tripped_since_us = now_us;
	gate->next_probe_us = now_us + PROBE_US;
	gate->unanswered_since_us = 0;
}

void skh_group_breaker_record_answer(skh_group_breaker_t *gate)
{
	gate->tripped_since_us = 0;
	gate->unanswered_since_us = 0;
}

void skh_group_breaker_record_failure(skh_group_breaker_t *gate)
{
	gate->unanswered_since_us = 0;
}

static bool is_silent(const skh_group_breaker_t *gate, int64_t now_us)
{
	return gate->unanswered_since_us != 0 && now_us - gate->unanswered_since_us > SILENT_US;
}

bool skh_group_breaker_can_send(const skh_group_breaker_t *gate, int64_t now_us)
{
	if (is_silent(gate, now_us) && now_us < gate->last_sent_us + SILENT_PROBE_US)
		return false;
	return gate->tripped_since_us == 0 || now_us >= gate->next_probe_us;
}

void skh_group_breaker_record_send(skh_group_breaker_t *gate, int64_t now_us)
{
	if (gate->tripped_since_us != 0)
		gate->next_probe_us = now_us + PROBE_US;
	if (gate->unanswered_since_us == 0)
		gate->unanswered_since_us = now_us;
	gate->last_sent_us = now_us;
}

void skh_group_breaker_record_rank_start(skh_group_breaker_t *gate, int64_t now_us)
{
	gate->rank_started_us = now_us;
}

bool skh_group_breaker_is_tripped(const skh_group_breaker_t *gate)
{
	return gate->tripped_since_us != 0;
}

bool skh_group_breaker_is_down(const skh_group_breaker_t *gate, int64_t now_us)
{
	bool forms = gate->rank_started_us != 0 && now_us - gate->rank_started_us < FORMING_US;

	return gate->tripped_since_us != 0 && now_us - gate->tripped_since_us > CLOSED_US && !forms;
}
