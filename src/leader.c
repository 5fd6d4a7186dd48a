#include "leader.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "doc_node.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#define PART	  "leader"
#define LEASE_S	  6
#define LEAD_US	  (2 * SKH_US_PER_S)	/* between two renewals */
#define FOLLOW_US (500 * SKH_US_PER_MS) /* between two looks by the whole group */
#define START_US  (200 * SKH_US_PER_MS) /* between two tries to register */

struct skh_leader {
	skh_store_t *store;
	const skh_settings_t *settings;
	char *prefix; /* of the group's keys */
	char *leader_key;
	char *value; /* unique to this process */
	pthread_t thread;
	GMutex lock;
	GCond wake;
	bool stop;
	int64_t lease; /* leader thread only */
	skh_leader_view_t view;
};

static bool failed(const skh_error_t *err)
{
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	skh_log(SKH_LOG_WARNING, PART, "The key-value service did not answer.", "reason=%s",
		err->text);
	return false;
}

static bool put_rank(skh_leader_t *leader, skh_error_t *err)
{
	const skh_settings_t *settings = leader->settings;
	g_autofree char *key =
		g_strdup_printf("%sranks/%04" PRId64, leader->prefix, settings->backend_rank);
	skh_doc_node_t *node = skh_doc_node_new_table(0);
	g_autofree char *value = NULL;
	skh_txn_result_t result;
	skh_txn_op_t put = { SKH_TXN_OP_PUT, key, NULL, 0 };
	const skh_txn_t txn = { .ops = &put, .n_ops = 1 };

	skh_doc_node_add(node, "id", skh_doc_node_new_text(settings->id, 0));
	skh_doc_node_add(node, "link", skh_doc_node_new_text(settings->link_listen, 0));
	value = skh_doc_node_to_json(node);
	skh_doc_node_free(node);
	put.value = value;
	return leader->store->ops->txn(leader->store, &txn, &result, err);
}

static void read_rank(skh_leader_rank_t *rank, const char *text)
{
	skh_error_t err;
	skh_doc_node_t *node = skh_doc_node_from_json(skh_chunk_from_string(text), &err);
	const skh_doc_node_t *id = node ? skh_doc_node_find(node, "id") : NULL;
	const skh_doc_node_t *link = node ? skh_doc_node_find(node, "link") : NULL;

	(void)g_strlcpy(rank->id, id ? skh_doc_node_text(id) : "", sizeof(rank->id));
	(void)g_strlcpy(rank->link_address, link ? skh_doc_node_text(link) : "",
			sizeof(rank->link_address));
	skh_doc_node_free(node);
}

/* Called with the lock held. */
static void take_ranks(skh_leader_t *leader, const skh_kv_pairs_t *pairs)
{
	size_t skip = strlen(leader->prefix) + strlen("ranks/");
	skh_leader_view_t *view = &leader->view;

	for (size_t i = 0; i < pairs->count; i++) {
		const skh_kv_pair_t *pair = &pairs->list[i];
		uint64_t rank;

		if (strcmp(pair->key, leader->leader_key) == 0 || strlen(pair->key) <= skip)
			continue;
		rank = g_ascii_strtoull(pair->key + skip, NULL, 10);
		if (rank >= SKH_LEADER_MAX_RANKS)
			continue;
		if (rank >= view->n_ranks) {
			view->ranks = g_renew(skh_leader_rank_t, view->ranks, rank + 1);
			memset(&view->ranks[view->n_ranks], 0,
			       (rank + 1 - view->n_ranks) * sizeof(skh_leader_rank_t));
			view->n_ranks = rank + 1;
		}
		read_rank(&view->ranks[rank], pair->value);
	}
}

/* Reads the group's keys; *@holder_fence is 0 when nobody leads. */
static bool read_group(skh_leader_t *leader, uint64_t *holder_fence, bool *is_ours)
{
	const skh_kv_pair_t *holder;
	skh_kv_pairs_t pairs;
	skh_error_t err;

	if (!leader->store->ops->range(leader->store, leader->prefix, true, &pairs, &err))
		return failed(&err);
	holder = skh_kv_pairs_find(&pairs, leader->leader_key);
	*holder_fence = holder ? (uint64_t)holder->create_revision : 0;
	*is_ours = holder && strcmp(holder->value, leader->value) == 0;
	g_mutex_lock(&leader->lock);
	take_ranks(leader, &pairs);
	if (!leader->view.has_fence_floor)
		leader->view.fence_floor = holder ? *holder_fence : (uint64_t)pairs.store_revision;
	leader->view.has_fence_floor = true;
	g_mutex_unlock(&leader->lock);
	skh_kv_pairs_clear(&pairs);
	return true;
}

static void set_lead(skh_leader_t *leader, uint64_t fence, int64_t until_us)
{
	g_mutex_lock(&leader->lock);
	if (fence != 0 && leader->view.fence != fence)
		skh_log(SKH_LOG_INFO, PART, "This sidecar leads its group.",
			"group=%s fence=%" PRIu64, leader->settings->backend_group, fence);
	leader->view.fence = fence;
	leader->view.lease_deadline_us = until_us;
	g_mutex_unlock(&leader->lock);
}

static bool take_lease(skh_leader_t *leader, uint64_t *fence)
{
	const skh_txn_compare_t compare = { leader->leader_key, 0 };
	skh_txn_op_t put = { SKH_TXN_OP_PUT, leader->leader_key, leader->value, 0 };
	const skh_txn_t txn = { .compares = &compare, .n_compares = 1, .ops = &put, .n_ops = 1 };
	skh_txn_result_t result;
	skh_error_t err;

	if (!leader->store->ops->lease_grant(leader->store, LEASE_S, &leader->lease, &err))
		return failed(&err);
	put.lease = leader->lease;
	/* A lost answer is settled at the next look, by the value that is ours alone. */
	if (!leader->store->ops->txn(leader->store, &txn, &result, &err))
		return failed(&err);
	*fence = (uint64_t)result.pairs.store_revision;
	skh_kv_pairs_clear(&result.pairs);
	return result.succeeded;
}

static void follow(skh_leader_t *leader)
{
	int64_t before_us = skh_clock_now_us();
	uint64_t fence;
	bool is_ours;

	if (!read_group(leader, &fence, &is_ours))
		return;
	if (is_ours || (fence == 0 && take_lease(leader, &fence)))
		set_lead(leader, fence, before_us + LEASE_S * SKH_US_PER_S);
}

static void lead(skh_leader_t *leader)
{
	int64_t before_us = skh_clock_now_us();
	int64_t ttl_s = 0;
	uint64_t fence;
	bool is_ours;
	skh_error_t err;

	if (!leader->store->ops->lease_renew(leader->store, leader->lease, &ttl_s, &err)) {
		(void)failed(&err);
		return;
	}
	if (ttl_s > 0 && read_group(leader, &fence, &is_ours) && is_ours)
		set_lead(leader, fence, before_us + ttl_s * SKH_US_PER_S);
	else
		set_lead(leader, 0, 0);
}

static int64_t step(skh_leader_t *leader)
{
	skh_error_t err;

	if (!leader->view.has_fence_floor && !put_rank(leader, &err)) {
		(void)failed(&err);
		return START_US;
	}
	if (leader->view.fence != 0 && skh_clock_now_us() < leader->view.lease_deadline_us) {
		lead(leader);
		return LEAD_US;
	}
	set_lead(leader, 0, 0);
	follow(leader);
	if (leader->view.fence != 0)
		return LEAD_US;
	/* The larger the group, the rarer each of its members looks. */
	return FOLLOW_US * (int64_t)MAX(leader->view.n_ranks, 1);
}

static void *run(void *argument)
{
	skh_leader_t *leader = argument;

	while (!__atomic_load_n(&leader->stop, __ATOMIC_ACQUIRE)) {
		int64_t pause_us = step(leader);
		int64_t jitter_us = (int64_t)(skh_random_u64() % (uint64_t)pause_us) / 2;
		int64_t until_us = skh_clock_now_us() + pause_us * 3 / 4 + jitter_us;

		g_mutex_lock(&leader->lock);
		while (!leader->stop && g_cond_wait_until(&leader->wake, &leader->lock, until_us))
			continue;
		g_mutex_unlock(&leader->lock);
	}
	return NULL;
}

skh_leader_t *skh_leader_start(skh_store_t *store, const skh_settings_t *settings)
{
	skh_leader_t *leader = g_new0(skh_leader_t, 1);

	leader->store = store;
	leader->settings = settings;
	leader->prefix =
		g_strdup_printf("%sgroups/%s/", settings->store_prefix, settings->backend_group);
	leader->leader_key = g_strconcat(leader->prefix, "leader", NULL);
	leader->value = g_strdup_printf("%s-%016" PRIx64, settings->id, skh_random_u64());
	g_mutex_init(&leader->lock);
	g_cond_init(&leader->wake);
	(void)pthread_create(&leader->thread, NULL, run, leader);
	return leader;
}

void skh_leader_stop(skh_leader_t *leader)
{
	g_mutex_lock(&leader->lock);
	__atomic_store_n(&leader->stop, true, __ATOMIC_RELEASE);
	g_cond_signal(&leader->wake);
	g_mutex_unlock(&leader->lock);
	(void)pthread_join(leader->thread, NULL);
	g_free(leader->view.ranks);
	g_cond_clear(&leader->wake);
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
