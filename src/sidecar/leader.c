#include "leader.h"

#include "clock.h"
#include "doc_node.h"
#include "log.h"
#include "metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#define PART		  "leader"
#define RANKS_KEY	  "ranks/" /* after the group's prefix; the rank's number follows */
#define LEASE_TTL_S	  6
#define RENEW_INTERVAL_US (2 * SKH_US_PER_S)
/* Mean interval between reads of the group's keys, counting the reads of all its sidecars. */
#define GROUP_READ_INTERVAL_US (500 * SKH_US_PER_MS)
#define REGISTER_RETRY_US      (200 * SKH_US_PER_MS)

struct skh_leader {
	skh_store_t *store;
	const skh_settings_t *settings;
	char *prefix; /* prefix of the group's keys */
	char *leader_key;
	char *value; /* unique to this process */
	pthread_t thread;
	GMutex lock;
	GCond stop_cond;
	bool stop_requested;
	int64_t lease_id; /* leader thread only */
	skh_leader_view_t view;
};

static bool record_store_failure(const skh_error_t *err)
{
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	skh_log(SKH_LOG_WARNING, PART, "Request to the key-value service failed; retrying.",
		"reason=%s", err->text);
	return false;
}

static bool register_rank(skh_leader_t *leader, skh_error_t *err)
{
	const skh_settings_t *settings = leader->settings;
	g_autofree char *key = g_strdup_printf("%s" RANKS_KEY "%04" PRId64, leader->prefix,
					       settings->backend_rank);
	skh_doc_node_t *node = skh_doc_node_new_table(0);
	g_autofree char *value = NULL;
	skh_txn_result_t result;
	skh_txn_op_t put_op = { SKH_TXN_OP_PUT, key, NULL, 0 };
	const skh_txn_t txn = { .ops = &put_op, .n_ops = 1 };

	skh_doc_node_add(node, "id", skh_doc_node_new_text(settings->id, 0));
	skh_doc_node_add(node, "link", skh_doc_node_new_text(settings->link_listen, 0));
	value = skh_doc_node_to_json(node);
	skh_doc_node_free(node);
	put_op.value = value;
	return leader->store->ops->txn(leader->store, &txn, &result, err);
}

/* Returns "" for a text that does not fit: cut off, it would be that of another sidecar. */
static const char *get_text(const skh_doc_node_t *node, size_t size)
{
	const char *text = node ? skh_doc_node_text(node) : NULL;

	return text && strlen(text) < size ? text : "";
}

static void parse_rank(skh_leader_rank_t *rank, const char *text)
{
	skh_error_t err;
	skh_doc_node_t *node = skh_doc_node_from_json(skh_chunk_from_string(text), &err);
	const skh_doc_node_t *id = node ? skh_doc_node_find(node, "id") : NULL;
	const skh_doc_node_t *link = node ? skh_doc_node_find(node, "link") : NULL;

	(void)g_strlcpy(rank->id, get_text(id, sizeof(rank->id)), sizeof(rank->id));
	(void)g_strlcpy(rank->link_address, get_text(link, sizeof(rank->link_address)),
			sizeof(rank->link_address));
	skh_doc_node_free(node);
}

/* Returns false for a key of the group that is no rank's. */
static bool parse_rank_key(const skh_leader_t *leader, const char *key, uint64_t *rank)
{
	const char *name = key + strlen(leader->prefix);

	return g_str_has_prefix(name, RANKS_KEY) &&
	       g_ascii_string_to_unsigned(name + strlen(RANKS_KEY), 10, 0, SKH_LEADER_MAX_RANKS - 1,
					  rank, NULL);
}

/* The caller holds the lock. */
static void update_ranks(skh_leader_t *leader, const skh_kv_pairs_t *pairs)
{
	skh_leader_view_t *view = &leader->view;

	for (size_t i = 0; i < pairs->count; i++) {
		const skh_kv_pair_t *pair = &pairs->list[i];
		uint64_t rank;

		if (!parse_rank_key(leader, pair->key, &rank))
			continue;
		if (rank >= view->n_ranks) {
			view->ranks = g_renew(skh_leader_rank_t, view->ranks, rank + 1);
			memset(&view->ranks[view->n_ranks], 0,
			       (rank + 1 - view->n_ranks) * sizeof(skh_leader_rank_t));
			view->n_ranks = rank + 1;
		}
		parse_rank(&view->ranks[rank], pair->value);
	}
}

/* Reads the group's keys; sets *@holder_fence to 0 if there is no leader. */
static bool read_group(skh_leader_t *leader, uint64_t *holder_fence, bool *is_own_lease)
{
	const skh_kv_pair_t *holder;
	skh_kv_pairs_t pairs;
	skh_error_t err;

	if (!leader->store->ops->range(leader->store, leader->prefix, true, &pairs, &err))
		return record_store_failure(&err);
	holder = skh_kv_pairs_find(&pairs, leader->leader_key);
	*holder_fence = holder ? (uint64_t)holder->create_revision : 0;
	*is_own_lease = holder && strcmp(holder->value, leader->value) == 0;
	g_mutex_lock(&leader->lock);
	update_ranks(leader, &pairs);
	/* The holder has the highest fence so far; without one, no fence exceeds the revision. */
	if (!leader->view.has_fence_floor)
		leader->view.fence_floor = holder ? *holder_fence : (uint64_t)pairs.store_revision;
	leader->view.has_fence_floor = true;
	g_mutex_unlock(&leader->lock);
	skh_kv_pairs_clear(&pairs);
	return true;
}

static void set_lease(skh_leader_t *leader, uint64_t fence, int64_t lease_deadline_us)
{
	g_mutex_lock(&leader->lock);
	if (fence != 0 && leader->view.fence != fence)
		skh_log(SKH_LOG_INFO, PART, "This sidecar leads its group.",
			"group=%s fence=%" PRIu64, leader->settings->backend_group, fence);
	leader->view.fence = fence;
	leader->view.lease_deadline_us = lease_deadline_us;
	g_mutex_unlock(&leader->lock);
}

static bool acquire_lease(skh_leader_t *leader, uint64_t *fence)
{
	const skh_txn_compare_t compare = { leader->leader_key, 0 };
	skh_txn_op_t put_op = { SKH_TXN_OP_PUT, leader->leader_key, leader->value, 0 };
	const skh_txn_t txn = { .compares = &compare, .n_compares = 1, .ops = &put_op, .n_ops = 1 };
	skh_txn_result_t result;
	skh_error_t err;

	if (!leader->store->ops->lease_grant(leader->store, LEASE_TTL_S, &leader->lease_id, &err))
		return record_store_failure(&err);
	put_op.lease = leader->lease_id;
	/*
	 * If the response is lost, the next read of the group shows the outcome because the value is
	 * unique to this process.
	 */
	if (!leader->store->ops->txn(leader->store, &txn, &result, &err))
		return record_store_failure(&err);
	*fence = (uint64_t)result.pairs.store_revision;
	skh_kv_pairs_clear(&result.pairs);
	return result.succeeded;
}

static void follow_leader(skh_leader_t *leader)
{
	int64_t sent_us = skh_clock_now_us();
	uint64_t fence;
	bool is_own_lease;

	if (!read_group(leader, &fence, &is_own_lease))
		return;
	if (is_own_lease || (fence == 0 && acquire_lease(leader, &fence)))
		set_lease(leader, fence, sent_us + LEASE_TTL_S * SKH_US_PER_S);
}

static void renew_lease(skh_leader_t *leader)
{
	int64_t sent_us = skh_clock_now_us();
	int64_t ttl_s = 0;
	uint64_t fence;
	bool is_own_lease;
	skh_error_t err;

	if (!leader->store->ops->lease_renew(leader->store, leader->lease_id, &ttl_s, &err)) {
		(void)record_store_failure(&err);
		return;
	}
	if (ttl_s > 0 && read_group(leader, &fence, &is_own_lease) && is_own_lease)
		set_lease(leader, fence, sent_us + ttl_s * SKH_US_PER_S);
	else
		set_lease(leader, 0, 0);
}

static int64_t run_step(skh_leader_t *leader)
{
	skh_error_t err;

	if (!leader->view.has_fence_floor && !register_rank(leader, &err)) {
		(void)record_store_failure(&err);
		return REGISTER_RETRY_US;
	}
	if (leader->view.fence != 0 && skh_clock_now_us() < leader->view.lease_deadline_us) {
		renew_lease(leader);
		return RENEW_INTERVAL_US;
	}
	set_lease(leader, 0, 0);
	follow_leader(leader);
	if (leader->view.fence != 0)
		return RENEW_INTERVAL_US;
	/* Scaled by the group size so that the load on the store does not grow with it. */
	return GROUP_READ_INTERVAL_US * (int64_t)MAX(leader->view.n_ranks, 1);
}

static void *run_leader(void *argument)
{
	skh_leader_t *leader = argument;

	while (!__atomic_load_n(&leader->stop_requested, __ATOMIC_ACQUIRE)) {
		int64_t delay_us = run_step(leader);
		int64_t jitter_us = (int64_t)(skh_random_u64() % (uint64_t)delay_us) / 2;
		int64_t wake_deadline_us = skh_clock_now_us() + delay_us * 3 / 4 + jitter_us;

		g_mutex_lock(&leader->lock);
		while (!leader->stop_requested &&
		       g_cond_wait_until(&leader->stop_cond, &leader->lock, wake_deadline_us))
			continue;
		g_mutex_unlock(&leader->lock);
	}
	return NULL;
}

/*
 * The keys of a group whose name has a slash would otherwise be among those of another group. Names
 * without these characters stand in keys as they are.
 */
static char *escape_group(const char *name)
{
	GString *text = g_string_new(NULL);

	for (; *name; name++) {
		if (*name == '/' || *name == '%')
			g_string_append_printf(text, "%%%02X", (unsigned int)*name);
		else
			g_string_append_c(text, *name);
	}
	return g_string_free(text, FALSE);
}

skh_leader_t *skh_leader_start(skh_store_t *store, const skh_settings_t *settings)
{
	skh_leader_t *leader = g_new0(skh_leader_t, 1);
	g_autofree char *group = escape_group(settings->backend_group);

	leader->store = store;
	leader->settings = settings;
	leader->prefix = g_strdup_printf("%sgroups/%s/", settings->store_prefix, group);
	leader->leader_key = g_strconcat(leader->prefix, "leader", NULL);
	leader->value = g_strdup_printf("%s-%016" PRIx64, settings->id, skh_random_u64());
	g_mutex_init(&leader->lock);
	g_cond_init(&leader->stop_cond);
	(void)pthread_create(&leader->thread, NULL, run_leader, leader);
	return leader;
}

void skh_leader_stop(skh_leader_t *leader)
{
	g_mutex_lock(&leader->lock);
	__atomic_store_n(&leader->stop_requested, true, __ATOMIC_RELEASE);
	g_cond_signal(&leader->stop_cond);
	g_mutex_unlock(&leader->lock);
	(void)pthread_join(leader->thread, NULL);
	g_free(leader->view.ranks);
	g_cond_clear(&leader->stop_cond);
	g_mutex_clear(&leader->lock);
	g_free(leader->value);
	g_free(leader->leader_key);
	g_free(leader->prefix);
	g_free(leader);
}

void skh_leader_get_view(skh_leader_t *leader, skh_leader_view_t *view)
{
	g_mutex_lock(&leader->lock);
	*view = leader->view;
	view->ranks =
		g_memdup2(leader->view.ranks, leader->view.n_ranks * sizeof(skh_leader_rank_t));
	g_mutex_unlock(&leader->lock);
}
