#include "target_group.h"

#define US_PER_MS ((int64_t)1000)
/* A full rank may reject requests for a moment; a group that has stopped does so for longer. */
#define STOPPED_AFTER_US (500 * US_PER_MS)
/*
 * Interval of probes of a rejecting group while another is ready: each costs a retry, and the
 * retry budget of a gateway may be 8 in 10 s.
 */
#define SPARE_PROBE_INTERVAL_US (1000 * US_PER_MS)
/* A probe of a silent group may wait for the whole hold, so it is sent less often. */
#define SILENT_SPARE_PROBE_INTERVAL_US (3000 * US_PER_MS)
/*
 * A stream leaves a silent group after this time: a map change holds a group for less, and callers
 * leave after 2 s without an event.
 */
#define MAX_STREAM_SILENCE_US (1000 * US_PER_MS)
/*
 * A request without a response so far has nothing to lose in a group whose streams are silent, and
 * can still meet an objective of 500 ms elsewhere.
 */
#define MAX_UNANSWERED_SILENCE_US (350 * US_PER_MS)
/*
 * New requests go to other groups after this time without an event: two to four passes at a usual
 * load. A group with a single long prompt is left out for nothing, which costs little.
 */
#define MAX_READY_SILENCE_US (200 * US_PER_MS)
/*
 * A probe goes back to the ready groups after this time, so that it still meets its objective there.
 */
#define MAX_PROBE_SILENCE_US (200 * US_PER_MS)
/* Without streams, a long prompt explains the silence; rank_liveness.c allows it as much. */
#define MAX_PROMPT_SILENCE_US (1400 * US_PER_MS)

static GHashTable *new_member_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

skh_target_group_t *skh_target_group_new(const char *name)
{
	skh_target_group_t *group = g_new0(skh_target_group_t, 1);

	group->name = g_strdup(name);
	group->members = new_member_table();
	/* Callers that a restart has cut off come back together, so this is as after a stop. */
	skh_concurrency_limit_record_stop(&group->limit);
	return group;
}

void skh_target_group_free(skh_target_group_t *group)
{
	g_hash_table_unref(group->members);
	g_free(group->name);
	g_free(group);
}

void skh_target_group_set_members(skh_target_group_t *group, const skh_members_notice_t *notice,
				  uint64_t arrival, int64_t now_us)
{
	GHashTable *members = new_member_table();

	for (uint32_t i = 0; i < notice->n_members; i++) {
		const char *address = notice->members[i].address;
		const skh_group_member_t *before = skh_target_group_find_member(group, address);
		skh_group_member_t *member = g_new(skh_group_member_t, 1);

		*member = (skh_group_member_t){ notice->members[i].rank,
						before ? before->named_since : arrival };
		(void)g_hash_table_replace(members, g_strdup(address), member);
	}
	g_hash_table_unref(group->members);
	group->members = members;
	if (notice->epoch > group->epoch)
		group->next_spare_probe_us = now_us;
	group->epoch = notice->epoch;
	group->arrival = arrival;
}

const skh_group_member_t *skh_target_group_find_member(const skh_target_group_t *group,
						       const char *address)
{
	return g_hash_table_lookup(group->members, address);
}

void skh_target_group_record_send(skh_target_group_t *group, int64_t now_us)
{
	group->next_spare_probe_us = now_us + SPARE_PROBE_INTERVAL_US;
	skh_group_breaker_record_send(&group->breaker, now_us);
}

void skh_target_group_record_response(skh_target_group_t *group)
{
	group->has_failed = false;
	group->was_silent = false;
	/* Before the next update, a backlog would start at once as if all of it were probes. */
	group->was_ready = true;
	skh_group_breaker_record_response(&group->breaker);
}

void skh_target_group_record_silence(skh_target_group_t *group)
{
	group->was_silent = true;
}

void skh_target_group_record_rejection(skh_target_group_t *group, int64_t now_us)
{
	group->was_silent = false;
	skh_group_breaker_record_rejection(&group->breaker, now_us);
	if (now_us - group->breaker.tripped_since_us > STOPPED_AFTER_US)
		skh_concurrency_limit_record_stop(&group->limit);
	group->next_spare_probe_us = now_us + SPARE_PROBE_INTERVAL_US;
}

void skh_target_group_record_failure(skh_target_group_t *group, bool is_lost, int64_t now_us)
{
	group->was_silent = false;
	skh_group_breaker_record_failure(&group->breaker);
	if (!is_lost)
		return;
	group->has_failed = true;
	group->next_spare_probe_us = now_us + SPARE_PROBE_INTERVAL_US;
}

bool skh_target_group_is_silent(const skh_target_group_t *group,
				const skh_group_activity_t *activity, int64_t now_us)
{
	int64_t awaited_since_us = group->breaker.awaiting_event_since_us;

	if (group->was_silent ||
	    (awaited_since_us != 0 && now_us - awaited_since_us > MAX_READY_SILENCE_US))
		return true;
	/* Streams have an event in each pass, also if no request was sent since the last one. */
	return activity->streams > 0 && now_us - activity->last_received_us > MAX_READY_SILENCE_US;
}

/* A rank that is full rejects a request while the group's streams go on. */
static bool is_rejecting(const skh_target_group_t *group, const skh_group_activity_t *activity,
			 int64_t now_us)
{
	return skh_group_breaker_is_tripped(&group->breaker) &&
	       (activity->streams == 0 ||
		now_us - group->breaker.tripped_since_us > MAX_READY_SILENCE_US);
}

bool skh_target_group_is_ready(const skh_target_group_t *group,
			       const skh_group_activity_t *activity, int64_t now_us)
{
	return !group->has_failed && !is_rejecting(group, activity, now_us) &&
	       !skh_target_group_is_silent(group, activity, now_us);
}

bool skh_target_group_is_spare_probe_due(const skh_target_group_t *group,
					 const skh_group_activity_t *activity, int64_t now_us)
{
	/* The requests that run there show when the group goes on. */
	if (skh_target_group_is_silent(group, activity, now_us) &&
	    (activity->running > 0 ||
	     now_us < group->breaker.last_sent_us + SILENT_SPARE_PROBE_INTERVAL_US))
		return false;
	return now_us >= group->next_spare_probe_us;
}

static int64_t choose_max_silence_us(const skh_group_silence_input_t *view)
{
	if (view->is_streaming)
		return MAX_STREAM_SILENCE_US;
	if (view->is_probe)
		return MAX_PROBE_SILENCE_US;
	return view->has_streams ? MAX_UNANSWERED_SILENCE_US : MAX_PROMPT_SILENCE_US;
}

bool skh_target_group_is_silent_too_long(const skh_group_silence_input_t *view)
{
	int64_t since_us = MAX(view->sent_us, view->last_received_us);

	return view->now_us - since_us > choose_max_silence_us(view);
}
