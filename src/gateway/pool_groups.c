#include "pool_groups.h"

#include "group_selection.h"
#include "log.h"
#include "metrics.h"

#include <inttypes.h>
#include <string.h>

#define PART "groups"

/* What the last grouped instance at an address was named by. */
typedef struct former_member {
	uint64_t instance; /* skh_server_instance_hash() */
	const skh_target_group_t *group;
	int64_t epoch;
	uint64_t arrival;
} former_member_t;

void skh_pool_groups_init(skh_target_pool_t *pool)
{
	pool->groups = g_ptr_array_new();
	pool->unproven = skh_target_group_new("-");
	pool->former_members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void skh_pool_groups_clear(skh_target_pool_t *pool)
{
	for (guint i = 0; i < pool->groups->len; i++)
		skh_target_group_free(g_ptr_array_index(pool->groups, i));
	(void)g_ptr_array_free(pool->groups, TRUE);
	skh_target_group_free(pool->unproven);
	g_hash_table_unref(pool->former_members);
}

static char *format_address(const skh_target_t *target)
{
	return g_strdup_printf("%s:%u", target->server->host, target->server->port);
}

/* --- Membership --- */

static bool is_about_instance(const skh_target_t *target, const former_member_t *former,
			      const skh_target_group_t *group, const skh_group_member_t *member)
{
	if (!former || former->instance == skh_server_instance_hash(target->server) ||
	    group == target->last_group || group->arrival > target->listed_arrival)
		return true;
	return former->group == group ? group->epoch > former->epoch
				      : member->named_since > former->arrival;
}

/* Of several groups that name the address, the one that began to do so last. */
static skh_target_group_t *find_group(const skh_target_t *target, const char *address)
{
	const skh_target_pool_t *pool = target->target_pool;
	const former_member_t *former = g_hash_table_lookup(pool->former_members, address);
	skh_target_group_t *newest = NULL;
	uint64_t newest_since = 0;

	for (guint i = 0; i < pool->groups->len; i++) {
		skh_target_group_t *group = g_ptr_array_index(pool->groups, i);
		const skh_group_member_t *member = skh_target_group_find_member(group, address);

		if (!member || !is_about_instance(target, former, group, member) ||
		    (newest && member->named_since <= newest_since))
			continue;
		newest = group;
		newest_since = member->named_since;
	}
	return newest;
}

/* A server that its group's notice no longer names stays in it until another group's names it. */
static void assign_group(skh_target_t *target)
{
	g_autofree char *address = format_address(target);
	skh_target_group_t *group = target->is_superseded ? NULL : find_group(target, address);

	if (!group)
		return;
	if (group != target->group)
		skh_log(SKH_LOG_INFO, PART, "Server belongs to a group.",
			"server=%s group=%s rank=%u epoch=%" PRId64, target->server->id,
			group->name, skh_target_group_find_member(group, address)->rank,
			group->epoch);
	/* A group forms when its ranks have started; its notice follows the list entries. */
	if (group != target->group && target->listed_us > group->breaker.rank_started_us)
		skh_group_breaker_record_rank_start(&group->breaker, target->listed_us);
	target->group = group;
	target->last_group = group;
	target->group_epoch = group->epoch;
	target->group_arrival = group->arrival;
}

void skh_pool_groups_on_listed(skh_target_t *target, int64_t now_us)
{
	skh_target_pool_t *pool = target->target_pool;

	target->listed_arrival = pool->notice_arrivals;
	target->listed_us = now_us;
	skh_group_breaker_record_rank_start(&pool->unproven->breaker, now_us);
	assign_group(target);
}

void skh_pool_groups_on_ended(skh_target_t *target)
{
	former_member_t *former;

	if (!target->group)
		return;
	former = g_new(former_member_t, 1);
	*former = (former_member_t){ skh_server_instance_hash(target->server), target->group,
				     target->group_epoch, target->group_arrival };
	(void)g_hash_table_replace(target->target_pool->former_members, format_address(target),
				   former);
	target->group = NULL;
}

void skh_pool_groups_on_reinstated(skh_target_t *target)
{
	assign_group(target);
}

static skh_target_group_t *get_or_create_group(skh_target_pool_t *pool, const char *name)
{
	skh_target_group_t *group;

	for (guint i = 0; i < pool->groups->len; i++) {
		group = g_ptr_array_index(pool->groups, i);
		if (strcmp(group->name, name) == 0)
			return group;
	}
	group = skh_target_group_new(name);
	g_ptr_array_add(pool->groups, group);
	return group;
}

static void assign_all(const skh_target_pool_t *pool)
{
	for (guint i = 0; i < pool->targets->len; i++)
		assign_group(g_ptr_array_index(pool->targets, i));
}

void skh_pool_groups_apply_notice(skh_target_pool_t *pool, const char *group_name, const char *text,
				  int64_t revision, int64_t now_us)
{
	skh_members_notice_t *notice = skh_members_notice_parse(text);
	skh_target_group_t *group;

	if (!notice) {
		skh_log(SKH_LOG_WARNING, PART,
			"Members of a group are unreadable; the last known ones stay.",
			"service=%s group=%s bytes=%zu", pool->service, group_name, strlen(text));
		return;
	}
	group = get_or_create_group(pool, group_name);
	if (revision == group->notice_revision) {
		skh_members_notice_free(notice);
		return;
	}
	group->notice_revision = revision;
	skh_target_group_set_members(group, notice, ++pool->notice_arrivals, now_us);
	skh_log(SKH_LOG_INFO, PART, "Members of a group are known.",
		"service=%s group=%s epoch=%" PRId64 " ranks=%u members=%u groups=%u",
		pool->service, group_name, notice->epoch, notice->n_ranks, notice->n_members,
		pool->groups->len);
	skh_members_notice_free(notice);
	assign_all(pool);
}

const char *skh_target_group_name(const skh_target_t *target)
{
	return target->group ? target->group->name : "-";
}

/* --- Breakers --- */

/* The group whose breaker covers the server; NULL if it stands alone and has served. */
static skh_target_group_t *get_guarding_group(const skh_target_t *target)
{
	if (target->group)
		return target->group;
	return target->has_served ? NULL : target->target_pool->unproven;
}

skh_group_activity_t skh_pool_groups_activity(const skh_target_pool_t *pool,
					      const skh_target_group_t *group)
{
	skh_group_activity_t activity = { 0 };

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		if (target->group != group)
			continue;
		activity.running += target->own_in_flight;
		activity.streams += target->own_streaming;
		activity.last_received_us =
			MAX(activity.last_received_us, target->last_received_us);
	}
	return activity;
}

bool skh_pool_groups_is_ready(const skh_target_pool_t *pool, const skh_target_group_t *group,
			      int64_t now_us)
{
	skh_group_activity_t activity = { 0 };

	/* A server that stands alone does not show by its silence that others are silent. */
	if (group != pool->unproven)
		activity = skh_pool_groups_activity(pool, group);
	return skh_target_group_is_ready(group, &activity, now_us);
}

bool skh_target_is_guarded(const skh_target_t *target, int64_t now_us)
{
	const skh_target_group_t *group = get_guarding_group(target);

	return target->target_pool->is_lock_step && group &&
	       !skh_pool_groups_is_ready(target->target_pool, group, now_us);
}

void skh_target_record_send(skh_target_t *target, int64_t now_us)
{
	skh_target_group_t *group = get_guarding_group(target);

	if (!group)
		return;
	group->probes += skh_target_is_guarded(target, now_us);
	skh_target_group_record_send(group, now_us);
}

/* A rank that is full rejects requests, too, so a group is reported only once it is down. */
static void log_breaker(const skh_target_t *target, skh_target_group_t *group, bool is_down)
{
	if (is_down == group->is_reported_down)
		return;
	group->is_reported_down = is_down;
	skh_log(is_down ? SKH_LOG_WARNING : SKH_LOG_INFO, PART,
		is_down ? "Group rejects requests and gets only probes."
			: "Group serves requests again.",
		"service=%s group=%s server=%s", target->target_pool->service, group->name,
		target->server->id);
}

void skh_target_record_response(skh_target_t *target)
{
	skh_target_group_t *group = get_guarding_group(target);

	target->has_served = true;
	if (!group)
		return;
	skh_target_group_record_response(group);
	log_breaker(target, group, false);
}

bool skh_target_record_rejection(skh_target_t *target, int64_t now_us)
{
	skh_target_group_t *group;
	bool was_tripped;

	target->has_served = false;
	group = get_guarding_group(target);
	was_tripped = skh_group_breaker_is_tripped(&group->breaker);
	skh_target_group_record_rejection(group, now_us);
	if (skh_group_breaker_is_down(&group->breaker, now_us))
		log_breaker(target, group, true);
	return was_tripped;
}

void skh_target_record_failure(skh_target_t *target, bool is_lost, int64_t now_us)
{
	skh_target_group_t *group = get_guarding_group(target);

	/* What is lost at a server that stands alone says nothing about the others. */
	if (group)
		skh_target_group_record_failure(group, is_lost && target->group, now_us);
}

typedef bool (*breaker_test_fn)(const skh_group_breaker_t *breaker, int64_t now_us);

/* Whether every server that may get requests is covered by a breaker that passes the test. */
static bool all_breakers(const skh_target_pool_t *pool, breaker_test_fn test, int64_t now_us)
{
	bool has_servers = false;

	for (guint i = 0; pool->is_lock_step && i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);
		const skh_target_group_t *group = get_guarding_group(target);

		if (skh_target_is_retired(target))
			continue;
		if (!group || !test(&group->breaker, now_us))
			return false;
		has_servers = true;
	}
	return has_servers;
}

static bool is_tripped(const skh_group_breaker_t *breaker, int64_t now_us)
{
	(void)now_us;
	return skh_group_breaker_is_tripped(breaker);
}

bool skh_target_pool_is_tripped(const skh_target_pool_t *pool, int64_t now_us)
{
	return all_breakers(pool, is_tripped, now_us);
}

bool skh_target_pool_is_down(const skh_target_pool_t *pool, int64_t now_us)
{
	return all_breakers(pool, skh_group_breaker_is_down, now_us);
}

/* --- Selection --- */

/* Position in @groups of the group that covers the server; NULL stands for those that have none. */
static uint32_t index_group(GPtrArray *groups, const skh_target_group_t *group)
{
	guint index;

	if (groups->len > 0 && g_ptr_array_index(groups, groups->len - 1) == group)
		return groups->len - 1;
	if (!g_ptr_array_find(groups, group, &index)) {
		index = groups->len;
		g_ptr_array_add(groups, (gpointer)group);
	}
	return index;
}

static bool has_failed_in(const GPtrArray *excluded_targets, const skh_target_group_t *group)
{
	for (guint i = 0; excluded_targets && i < excluded_targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(excluded_targets, i);

		if (target->group == group)
			return true;
	}
	return false;
}

static void describe_group(const skh_target_pool_t *pool, const skh_target_group_t *group,
			   const GPtrArray *excluded_targets, int64_t now_us,
			   skh_group_candidate_t *candidate)
{
	skh_group_activity_t activity = { 0 };

	candidate->is_ready = candidate->can_send = true;
	if (!group)
		return;
	candidate->is_ready = skh_pool_groups_is_ready(pool, group, now_us);
	if (group != pool->unproven)
		activity = skh_pool_groups_activity(pool, group);
	candidate->is_joint = group != pool->unproven;
	candidate->can_send = skh_group_breaker_can_send(&group->breaker, now_us);
	candidate->is_spare_probe_due =
		skh_target_group_is_spare_probe_due(group, &activity, now_us);
	candidate->is_left = candidate->is_joint && has_failed_in(excluded_targets, group);
	candidate->is_at_limit = group->max_running > 0 && activity.running >= group->max_running;
}

/* Whether a group is to be probed while others are ready; spares the selection in most cases. */
static bool may_probe(const skh_target_pool_t *pool, int64_t now_us)
{
	bool is_due = !skh_pool_groups_is_ready(pool, pool->unproven, now_us);

	for (guint i = 0; !is_due && i < pool->groups->len; i++)
		is_due =
			!skh_pool_groups_is_ready(pool, g_ptr_array_index(pool->groups, i), now_us);
	return is_due;
}

static int32_t select_server(const skh_target_pool_t *pool, const skh_selection_input_t *servers,
			     const GPtrArray *excluded_targets, bool probe_only)
{
	g_autoptr(GPtrArray) groups = g_ptr_array_new();
	g_autofree uint32_t *group_of = g_new(uint32_t, servers->n_candidates + 1);
	g_autofree skh_group_candidate_t *candidates =
		g_new0(skh_group_candidate_t, servers->n_candidates + 1);
	skh_group_selection_input_t view = { .servers = *servers,
					     .group_of = group_of,
					     .groups = candidates,
					     .step_ms = pool->step_ms,
					     .step_ms_per_request = pool->step_ms_per_request,
					     .expert_time_ratio = pool->expert_time_ratio };

	for (guint i = 0; i < pool->targets->len; i++)
		group_of[i] = index_group(groups,
					  get_guarding_group(g_ptr_array_index(pool->targets, i)));
	for (guint i = 0; i < groups->len; i++)
		describe_group(pool, g_ptr_array_index(groups, i), excluded_targets,
			       servers->now_us, &candidates[i]);
	view.n_groups = groups->len;
	return probe_only ? skh_group_selection_probe(&view) : skh_group_selection_server(&view);
}

int32_t skh_pool_groups_select(const skh_target_pool_t *pool, const skh_selection_input_t *servers,
			       const GPtrArray *excluded_targets, bool probe_only)
{
	if (probe_only && !may_probe(pool, servers->now_us))
		return SKH_SELECTION_NONE;
	return select_server(pool, servers, excluded_targets, probe_only);
}

/* --- Metrics --- */

static void publish_group(const skh_target_pool_t *pool, const skh_target_group_t *group,
			  int64_t now_us)
{
	const skh_group_activity_t activity = skh_pool_groups_activity(pool, group);
	int64_t values[SKH_GROUP_METRIC_COUNT] = {
		[SKH_GROUP_METRIC_READY] = skh_target_group_is_ready(group, &activity, now_us),
		[SKH_GROUP_METRIC_RUNNING] = activity.running,
		[SKH_GROUP_METRIC_PROBES] = (int64_t)group->probes,
		[SKH_GROUP_METRIC_MOVED] = (int64_t)group->moved,
		[SKH_GROUP_METRIC_LIMIT] = (int64_t)group->own_limit,
		[SKH_GROUP_METRIC_PASS_MS] = group->limit.mean_pass_us / 1000,
	};

	for (guint i = 0; i < pool->targets->len; i++)
		values[SKH_GROUP_METRIC_SERVERS] +=
			((const skh_target_t *)g_ptr_array_index(pool->targets, i))->group == group;
	skh_metrics_set_group_values(pool->service, group->name, values);
}

void skh_pool_groups_publish_metrics(const skh_target_pool_t *pool, int64_t now_us)
{
	for (guint i = 0; i < pool->groups->len; i++)
		publish_group(pool, g_ptr_array_index(pool->groups, i), now_us);
}

/* --- Silence --- */

uint32_t skh_pool_groups_free_slots(const skh_target_pool_t *pool, const skh_target_group_t *group,
				    uint32_t n_gateways, int64_t now_us)
{
	uint32_t free_slots = 0;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);
		const skh_target_group_t *other = get_guarding_group(target);
		uint32_t used = target->own_in_flight + target->peers_running;

		/* Whether those that have not served do answer is not known. */
		if (other == group || other == pool->unproven ||
		    (other && !skh_pool_groups_is_ready(pool, other, now_us)) ||
		    skh_target_is_retired(target) || used >= target->server->slots)
			continue;
		free_slots += target->server->slots - used;
	}
	return (free_slots + n_gateways - 1) / n_gateways;
}
