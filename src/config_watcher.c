#include "config_watcher.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "mirror.h"
#include "config_parts.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#define PART		       "config"
#define HINT_INTERVAL_US       (1 * SKH_US_PER_S)
#define SPREAD_PER_INSTANCE_US 1000
#define PARTS_PER_READ	       64

struct skh_config_watcher {
	skh_store_t *store;
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_mirror_t *config_mirror;
	skh_mirror_t *members_mirror;
	int64_t next_hint_us;
	GHashTable *texts; /* hash -> text of the parts in force; config mirror's thread */
};

skh_store_t *skh_settings_open_store(const skh_settings_t *settings)
{
	size_t n = skh_doc_node_count(settings->store_endpoints);
	g_autofree const char **endpoints = g_new0(const char *, n + 1);

	for (size_t i = 0; i < n; i++)
		endpoints[i] = skh_settings_store_endpoint(settings, i);
	return skh_store_open_etcd(endpoints, settings->store_timeout_ms);
}

/* Reads up to PARTS_PER_READ parts in one call. */
static bool fetch_parts(skh_config_watcher_t *follower, char *const *hashes, size_t n,
			GHashTable *texts, skh_error_t *err)
{
	g_autofree char *prefix =
		g_strconcat(follower->settings->store_prefix, SKH_CONFIG_PARTS_PREFIX, NULL);
	skh_txn_op_t reads[PARTS_PER_READ];
	skh_txn_t txn = { .ops = reads, .n_ops = n };
	skh_txn_result_t result;
	bool read_all;

	for (size_t i = 0; i < n; i++)
		reads[i] = (skh_txn_op_t){ SKH_TXN_OP_READ, g_strconcat(prefix, hashes[i], NULL),
					   NULL, 0 };
	read_all = follower->store->ops->txn(follower->store, &txn, &result, err);
	for (size_t i = 0; i < n; i++)
		g_free((char *)reads[i].key);
	if (!read_all)
		return false;
	for (size_t i = 0; i < result.pairs.count; i++)
		g_hash_table_insert(texts, g_strdup(result.pairs.list[i].key + strlen(prefix)),
				    g_strdup(result.pairs.list[i].value));
	if (result.pairs.count < n)
		read_all = skh_error_set(err, SKH_CONFIG_INVALID, "%zu parts are missing",
					 n - result.pairs.count);
	skh_kv_pairs_clear(&result.pairs);
	return read_all;
}

/* Parts that stayed the same are taken from the configuration in force. */
static bool gather_parts(skh_config_watcher_t *follower, const skh_config_head_t *head,
			 GHashTable *texts, skh_error_t *err)
{
	g_autoptr(GPtrArray) wanted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer hash;

	g_hash_table_iter_init(&iter, head->part_hashes);
	while (g_hash_table_iter_next(&iter, NULL, &hash)) {
		const char *known = g_hash_table_lookup(follower->texts, hash);

		if (known)
			g_hash_table_insert(texts, g_strdup(hash), g_strdup(known));
		else
			g_ptr_array_add(wanted, hash);
	}
	for (size_t at = 0; at < wanted->len; at += PARTS_PER_READ) {
		size_t n = MIN(wanted->len - at, PARTS_PER_READ);

		if (!fetch_parts(follower, (char *const *)&wanted->pdata[at], n, texts, err))
			return false;
	}
	return true;
}

static skh_manifest_t *build(const skh_config_head_t *head, GHashTable *texts, skh_error_t *err)
{
	g_autofree gpointer *list = g_hash_table_get_keys_as_array(texts, NULL);
	guint n = g_hash_table_size(texts);
	skh_validation_errors_t *faults;
	skh_manifest_t *manifest;
	skh_doc_node_t *change;
	skh_doc_node_t *tree;

	for (guint i = 0; i < n; i++)
		list[i] = g_hash_table_lookup(texts, list[i]);
	tree = skh_config_parts_merge((const char *const *)list, n, err);
	if (!tree)
		return NULL;
	change = skh_doc_node_new_table(0);
	skh_doc_node_add(change, "by", skh_doc_node_new_text(head->author, 0));
	skh_doc_node_add(change, "reason", skh_doc_node_new_text(head->reason, 0));
	skh_doc_node_add(tree, "change", change);
	faults = skh_validation_errors_new();
	manifest = skh_manifest_from_tree(tree, faults);
	if (!manifest)
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "%s: %s",
				    skh_validation_errors_at(faults, 0)->key,
				    skh_validation_errors_at(faults, 0)->reason);
	skh_validation_errors_free(faults);
	return manifest;
}

static void put_in_force(skh_config_watcher_t *follower, const skh_config_head_t *head,
			 skh_manifest_t *manifest)
{
	skh_config_t *config = g_new0(skh_config_t, 1);

	config->revision = head->revision;
	config->manifest = manifest;
	config->author = g_strdup(head->author);
	config->reason = g_strdup(head->reason);
	skh_board_publish_config(follower->board, config);
	skh_metrics_add(SKH_COUNT_CONFIG_ADOPTED, 1);
	skh_log(SKH_LOG_INFO, PART, "Configuration is in force.", "revision=%" PRId64 " by=%s",
		head->revision, head->author);
}

static bool adopt(skh_config_watcher_t *follower, const skh_config_head_t *head, skh_error_t *err)
{
	GHashTable *texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	skh_manifest_t *manifest = NULL;

	if (gather_parts(follower, head, texts, err))
		manifest = build(head, texts, err);
	if (!manifest) {
		g_hash_table_unref(texts);
		return false;
	}
	g_hash_table_unref(follower->texts);
	follower->texts = texts;
	put_in_force(follower, head, manifest);
	return true;
}

/* All processes learn of a change at once; the larger the fleet, the longer they spread. */
static void spread_reads(skh_config_watcher_t *follower)
{
	const skh_instances_t *members = skh_board_acquire_instances(follower->board);
	uint64_t spread_us = members ? members->count * SPREAD_PER_INSTANCE_US : 0;

	skh_board_release(members);
	if (spread_us > 0)
		(void)usleep((useconds_t)(skh_random_u64() % spread_us));
}

static bool on_head(void *context, GHashTable *pairs)
{
	skh_config_watcher_t *follower = context;
	g_autofree char *key =
		g_strconcat(follower->settings->store_prefix, SKH_CONFIG_HEAD_KEY, NULL);
	const char *text = g_hash_table_lookup(pairs, key);
	skh_config_head_t *head;
	skh_error_t err;
	bool done = true;

	if (!text)
		return true;
	head = skh_config_head_parse(text, &err);
	/* Never backwards: a head that is not newer changes nothing. */
	if (head && head->revision > skh_board_config_revision(follower->board)) {
		spread_reads(follower);
		done = adopt(follower, head, &err);
	}
	if (!head || !done) {
		skh_metrics_add(SKH_COUNT_CONFIG_FAILED, 1);
		skh_log(SKH_LOG_ERROR, PART, "Configuration can't be put in force.", "reason=%s",
			err.text);
		done = false;
	}
	skh_config_head_free(head);
	return done;
}

static bool on_members(void *context, GHashTable *table)
{
	skh_config_watcher_t *follower = context;
	skh_kv_pairs_t pairs = { .list = g_new0(skh_kv_pair_t, g_hash_table_size(table)) };
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	size_t n_bad;
	skh_instances_t *members;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		pairs.list[pairs.count].key = key;
		pairs.list[pairs.count].value = value;
		pairs.count++;
	}
	/* A list without anybody comes from a service that has lost it, not from the fleet. */
	if (pairs.count == 0) {
		skh_log(SKH_LOG_WARNING, PART, "The platform lists no instance.", "kept=last");
		g_free(pairs.list);
		return true;
	}
	members = skh_instances_parse(&pairs, follower->settings->instances_prefix, &n_bad);
	g_free(pairs.list);
	if (n_bad > 0)
		skh_log(SKH_LOG_WARNING, PART, "The platform lists unreadable instances.",
			"count=%zu", n_bad);
	skh_board_publish_instances(follower->board, members);
	return true;
}

skh_config_watcher_t *skh_config_watcher_start(skh_store_t *store, const skh_settings_t *settings,
					       skh_board_t *board)
{
	skh_config_watcher_t *follower = g_new0(skh_config_watcher_t, 1);
	g_autofree char *head_key = g_strconcat(settings->store_prefix, SKH_CONFIG_HEAD_KEY, NULL);

	follower->store = store;
	follower->settings = settings;
	follower->board = board;
	follower->texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	follower->config_mirror = skh_mirror_start(store, head_key, on_head, follower);
	follower->members_mirror =
		skh_mirror_start(store, settings->instances_prefix, on_members, follower);
	return follower;
}

void skh_config_watcher_stop(skh_config_watcher_t *follower)
{
	skh_mirror_stop(follower->config_mirror);
	skh_mirror_stop(follower->members_mirror);
	g_hash_table_unref(follower->texts);
	g_free(follower);
}

void skh_config_watcher_hint_revision(skh_config_watcher_t *follower, int64_t revision)
{
	int64_t now_us = skh_clock_now_us();

	if (revision <= skh_board_config_revision(follower->board) ||
	    now_us < follower->next_hint_us)
		return;
	follower->next_hint_us = now_us + HINT_INTERVAL_US;
	skh_mirror_refresh(follower->config_mirror);
}
