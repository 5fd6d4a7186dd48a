#include "groupgate.h"

/* Between two probes of a closed group; it forms anew in some hundred ms. */
#define PROBE_US ((int64_t)150000)
/* A refusal or two may be one rank's; after this the group is taken for broken. */
#define CLOSED_US ((int64_t)500000)

void skh_groupgate_refused(skh_groupgate_t *gate, int64_t now_us)
{
	if (gate->closed_since_us == 0)
		gate->closed_since_us = now_us;
	gate->probe_us = now_us + PROBE_US;
}

void skh_groupgate_answered(skh_groupgate_t *gate)
{
	gate->closed_since_us = 0;
}

bool skh_groupgate_may_send(const skh_groupgate_t *gate, int64_t now_us)
{
	return gate->closed_since_us == 0 || now_us >= gate->probe_us;
}

void skh_groupgate_sent(skh_groupgate_t *gate, int64_t now_us)
{
	if (gate->closed_since_us != 0)
		gate->probe_us = now_us + PROBE_US;
}

bool skh_groupgate_is_closed(const skh_groupgate_t *gate, int64_t now_us)
{
	return gate->closed_since_us != 0 && now_us - gate->closed_since_us > CLOSED_US;
}
