#include "groupgate.h"

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

void skh_groupgate_refused(skh_groupgate_t *gate, int64_t now_us)
{
	if (gate->closed_since_us == 0)
		gate->closed_since_us = now_us;
	gate->probe_us = now_us + PROBE_US;
	gate->unanswered_us = 0;
}

void skh_groupgate_answered(skh_groupgate_t *gate)
{
	gate->closed_since_us = 0;
	gate->unanswered_us = 0;
}

void skh_groupgate_failed(skh_groupgate_t *gate)
{
	gate->unanswered_us = 0;
}

static bool is_silent(const skh_groupgate_t *gate, int64_t now_us)
{
	return gate->unanswered_us != 0 && now_us - gate->unanswered_us > SILENT_US;
}

bool skh_groupgate_may_send(const skh_groupgate_t *gate, int64_t now_us)
{
	if (is_silent(gate, now_us) && now_us < gate->sent_us + SILENT_PROBE_US)
		return false;
	return gate->closed_since_us == 0 || now_us >= gate->probe_us;
}

void skh_groupgate_sent(skh_groupgate_t *gate, int64_t now_us)
{
	if (gate->closed_since_us != 0)
		gate->probe_us = now_us + PROBE_US;
	if (gate->unanswered_us == 0)
		gate->unanswered_us = now_us;
	gate->sent_us = now_us;
}

void skh_groupgate_joined(skh_groupgate_t *gate, int64_t now_us)
{
	gate->joined_us = now_us;
}

bool skh_groupgate_is_closed(const skh_groupgate_t *gate)
{
	return gate->closed_since_us != 0;
}

bool skh_groupgate_is_down(const skh_groupgate_t *gate, int64_t now_us)
{
	bool forms = gate->joined_us != 0 && now_us - gate->joined_us < FORMING_US;

	return gate->closed_since_us != 0 && now_us - gate->closed_since_us > CLOSED_US && !forms;
}
