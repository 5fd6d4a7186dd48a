#include "config_watcher.h"

#include "clock.h"
#include "config_parts.h"
#include "log.h"
#include "metrics.h"
#include "mirror.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#define PART			    "config"
#define HINT_INTERVAL_US	    (1 * SKH_US_PER_S)
#define READ_JITTER_PER_INSTANCE_US 1000
#define MAX_PARTS_PER_READ	    64

struct skh_config_watcher {
	skh_store_t *store;
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_mirror_t *config_mirror;
	skh_mirror_t *instances_mirror;
	int64_t next_hint_read_us; /* a hint causes no read before this time */
	/* hash -> text of the parts in force; used by @config_mirror's thread only */
	GHashTable *texts;
};

skh_store_t *skh_settings_open_store(const skh_settings_t *settings)
{
	size_t n = skh_doc_node_count(settings->store_endpoints);
	g_autofree const char **endpoints = g_new0(const char *, n + 1);

	for (size_t i = 0; i < n; i++)
		endpoints[i] = skh_settings_store_endpoint(settings, i);
	return skh_store_open_etcd(endpoints, settings->store_timeout_ms);
}

/* Reads up to MAX_PARTS_PER_READ parts in one transaction. */
static bool fetch_parts(skh_config_watcher_t *watcher, char *const *hashes, size_t n,
			GHashTable *texts, skh_error_t *err)
{
	g_autofree char *prefix =
		g_strconcat(watcher->settings->store_prefix, SKH_CONFIG_PARTS_PREFIX, NULL);
	skh_txn_op_t reads[MAX_PARTS_PER_READ];
	skh_txn_t txn = { .ops = reads, .n_ops = n };
	skh_txn_result_t result;
	bool is_complete;

	for (size_t i = 0; i < n; i++)
		reads[i] = (skh_txn_op_t){ SKH_TXN_OP_READ, g_strconcat(prefix, hashes[i], NULL),
					   NULL, 0 };
	is_complete = watcher->store->ops->txn(watcher->store, &txn, &result, err);
	for (size_t i = 0; i < n; i++)
		g_free((char *)reads[i].key);
	if (!is_complete)
		return false;
	for (size_t i = 0; i < result.pairs.count; i++)
		g_hash_table_insert(texts, g_strdup(result.pairs.list[i].key + strlen(prefix)),
				    g_strdup(result.pairs.list[i].value));
	if (result.pairs.count < n)
		is_complete = skh_error_set(
			err, SKH_CONFIG_INVALID,
			"%zu parts of the configuration are missing in the key-value service",
			n - result.pairs.count);
	skh_kv_pairs_clear(&result.pairs);
	return is_complete;
}

/* Copies unchanged parts from the configuration in force and reads only the others. */
static bool collect_parts(skh_config_watcher_t *watcher, const skh_config_head_t *head,
			  GHashTable *texts, skh_error_t *err)
{
	g_autoptr(GPtrArray) hashes_to_read = g_ptr_array_new();
	GHashTableIter iter;
	gpointer hash;

	g_hash_table_iter_init(&iter, head->part_hashes);
	while (g_hash_table_iter_next(&iter, NULL, &hash)) {
		const char *known_text = g_hash_table_lookup(watcher->texts, hash);

		if (known_text)
			g_hash_table_insert(texts, g_strdup(hash), g_strdup(known_text));
		else
			g_ptr_array_add(hashes_to_read, hash);
	}
	for (size_t offset = 0; offset < hashes_to_read->len; offset += MAX_PARTS_PER_READ) {
		size_t n = MIN(hashes_to_read->len - offset, MAX_PARTS_PER_READ);

		if (!fetch_parts(watcher, (char *const *)&hashes_to_read->pdata[offset], n, texts,
				 err))
			return false;
	}
	return true;
}

static skh_manifest_t *build_manifest(const skh_config_head_t *head, GHashTable *texts,
				      skh_error_t *err)
{
	g_autofree gpointer *part_texts = g_hash_table_get_keys_as_array(texts, NULL);
	guint n = g_hash_table_size(texts);
	skh_validation_errors_t *errors;
	skh_manifest_t *manifest;
	skh_doc_node_t *change;
	skh_doc_node_t *tree;

	/* The array holds the hashes; each is replaced by the text of its part. */
	for (guint i = 0; i < n; i++)
		part_texts[i] = g_hash_table_lookup(texts, part_texts[i]);
	tree = skh_config_parts_merge((const char *const *)part_texts, n, err);
	if (!tree)
		return NULL;
	change = skh_doc_node_new_table(0);
	skh_doc_node_add(change, "by", skh_doc_node_new_text(head->author, 0));
	skh_doc_node_add(change, "reason", skh_doc_node_new_text(head->reason, 0));
	skh_doc_node_add(tree, "change", change);
	errors = skh_validation_errors_new();
	manifest = skh_manifest_from_tree(tree, errors);
	if (!manifest)
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "%s: %s",
				    skh_validation_errors_at(errors, 0)->key,
				    skh_validation_errors_at(errors, 0)->reason);
	skh_validation_errors_free(errors);
	return manifest;
}

static void publish_config(skh_config_watcher_t *watcher, const skh_config_head_t *head,
			   skh_manifest_t *manifest)
{
	skh_config_t *config = g_new0(skh_config_t, 1);

	config->revision = head->revision;
	config->manifest = manifest;
	config->author = g_strdup(head->author);
	config->reason = g_strdup(head->reason);
	skh_board_publish_config(watcher->board, config);
	skh_metrics_add(SKH_COUNT_CONFIG_ADOPTED, 1);
	skh_log(SKH_LOG_INFO, PART, "Configuration is in force.", "revision=%" PRId64 " by=%s",
		head->revision, head->author);
}

static bool put_in_force(skh_config_watcher_t *watcher, const skh_config_head_t *head,
			 skh_error_t *err)
{
	GHashTable *texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	skh_manifest_t *manifest = NULL;

	if (collect_parts(watcher, head, texts, err))
		manifest = build_manifest(head, texts, err);
	if (!manifest) {
		g_hash_table_unref(texts);
		return false;
	}
	g_hash_table_unref(watcher->texts);
	watcher->texts = texts;
	publish_config(watcher, head, manifest);
	return true;
}

/*
 * Every process is notified of a change at the same time. A random delay that grows with the
 * number of instances keeps the load on the key-value service bounded.
 */
static void sleep_read_jitter(skh_config_watcher_t *watcher)
{
	const skh_instances_t *instances = skh_board_acquire_instances(watcher->board);
	uint64_t max_jitter_us = instances ? instances->count * READ_JITTER_PER_INSTANCE_US : 0;

	skh_board_release(instances);
	if (max_jitter_us > 0)
		(void)usleep((useconds_t)(skh_random_u64() % max_jitter_us));
}

static bool on_head_changed(void *context, GHashTable *pairs)
{
	skh_config_watcher_t *watcher = context;
	g_autofree char *key =
		g_strconcat(watcher->settings->store_prefix, SKH_CONFIG_HEAD_KEY, NULL);
	const char *text = g_hash_table_lookup(pairs, key);
	skh_config_head_t *head;
	skh_error_t err;
	bool succeeded = true;

	if (!text)
		return true;
	head = skh_config_head_parse(text, &err);
	/* A revision that is not newer is ignored, so that no process returns to an older one. */
	if (head && head->revision > skh_board_config_revision(watcher->board)) {
		sleep_read_jitter(watcher);
		succeeded = put_in_force(watcher, head, &err);
	}
	if (!head || !succeeded) {
		skh_metrics_add(SKH_COUNT_CONFIG_FAILED, 1);
		skh_log(SKH_LOG_ERROR, PART,
			"A new configuration could not be put in force; the read is retried.",
			"reason=%s", err.text);
		succeeded = false;
	}
	skh_config_head_free(head);
	return succeeded;
}

static bool on_instances_changed(void *context, GHashTable *value_by_key)
{
	skh_config_watcher_t *watcher = context;
	skh_kv_pairs_t pairs = { .list = g_new0(skh_kv_pair_t, g_hash_table_size(value_by_key)) };
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	size_t n_invalid;
	skh_instances_t *instances;

	g_hash_table_iter_init(&iter, value_by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		pairs.list[pairs.count].key = key;
		pairs.list[pairs.count].value = value;
		pairs.count++;
	}
	/* An empty list means that the service lost its contents, not that the fleet is empty. */
	if (pairs.count == 0) {
		skh_log(SKH_LOG_WARNING, PART,
			"The platform lists no instance; the last list is kept.", "kept=last");
		g_free(pairs.list);
		return true;
	}
	instances = skh_instances_parse(&pairs, watcher->settings->instances_prefix, &n_invalid);
	g_free(pairs.list);
	if (n_invalid > 0)
		skh_log(SKH_LOG_WARNING, PART,
			"The platform's list has invalid instances; they are skipped.", "count=%zu",
			n_invalid);
	skh_board_publish_instances(watcher->board, instances);
	return true;
}

skh_config_watcher_t *skh_config_watcher_start(skh_store_t *store, const skh_settings_t *settings,
					       skh_board_t *board)
{
	skh_config_watcher_t *watcher = g_new0(skh_config_watcher_t, 1);
	g_autofree char *head_key = g_strconcat(settings->store_prefix, SKH_CONFIG_HEAD_KEY, NULL);

	watcher->store = store;
	watcher->settings = settings;
	watcher->board = board;
	watcher->texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watcher->config_mirror = skh_mirror_start(store, head_key, on_head_changed, watcher);
	watcher->instances_mirror =
		skh_mirror_start(store, settings->instances_prefix, on_instances_changed, watcher);
	return watcher;
}

void skh_config_watcher_stop(skh_config_watcher_t *watcher)
{
	skh_mirror_stop(watcher->config_mirror);
	skh_mirror_stop(watcher->instances_mirror);
	g_hash_table_unref(watcher->texts);
	g_free(watcher);
}

void skh_config_watcher_hint_revision(skh_config_watcher_t *watcher, int64_t revision)
{
	int64_t now_us = skh_clock_now_us();

	if (revision <= skh_board_config_revision(watcher->board) ||
	    now_us < watcher->next_hint_read_us)
		return;
	watcher->next_hint_read_us = now_us + HINT_INTERVAL_US;
	skh_mirror_refresh(watcher->config_mirror);
}
