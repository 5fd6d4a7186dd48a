#include "apply.h"

#include "clock.h"
#include "config_watcher.h"

#include <inttypes.h>
#include <string.h>

#define PARTS_PER_TXN 32

/* One apply on its way. */
typedef struct applying {
	skh_store_t *store;
	const char *prefix;
	char *head_key;
	skh_config_head_t *current; /* NULL before the first configuration */
	int64_t head_mod_revision;
	skh_config_head_t *wanted;
	GHashTable *texts; /* hash -> text of the wanted parts */
} applying_t;

static bool read_head(applying_t *applying, skh_config_head_t **head, int64_t *mod_revision,
		      skh_error_t *err)
{
	skh_kv_pairs_t pairs;
	bool good = true;

	*head = NULL;
	*mod_revision = 0;
	if (!applying->store->ops->range(applying->store, applying->head_key, false, &pairs, err))
		return false;
	if (pairs.count == 1) {
		*head = skh_config_head_parse(pairs.list[0].value, err);
		*mod_revision = pairs.list[0].mod_revision;
		good = *head != NULL;
	}
	skh_kv_pairs_clear(&pairs);
	return good;
}

static void prepare(applying_t *applying, const skh_manifest_t *manifest, int64_t floor)
{
	g_autoptr(GHashTable) parts =
		skh_config_parts_split(skh_manifest_tree(manifest), applying->texts);
	int64_t current = applying->current ? applying->current->revision : 0;
	int64_t revision = MAX(current, floor) + 1;
	g_autofree char *attempt = g_strdup_printf("%016" PRIx64, skh_random_u64());

	applying->wanted = skh_config_head_new(revision, skh_manifest_author(manifest),
					       skh_manifest_reason(manifest), attempt,
					       skh_clock_unix_ms(), parts);
}

static bool is_new_part(const applying_t *applying, const char *hash)
{
	GHashTableIter iter;
	gpointer known;

	if (!applying->current)
		return true;
	g_hash_table_iter_init(&iter, applying->current->part_hashes);
	while (g_hash_table_iter_next(&iter, NULL, &known)) {
		if (strcmp(known, hash) == 0)
			return false;
	}
	return true;
}

/* A part is immutable and named by its content, so writing it twice changes nothing. */
static bool write_batch(applying_t *applying, const GPtrArray *keys, const GPtrArray *values,
			skh_error_t *err)
{
	g_autofree skh_txn_op_t *ops = g_new0(skh_txn_op_t, keys->len);
	skh_txn_t txn = { .ops = ops, .n_ops = keys->len };
	skh_txn_result_t done;

	for (size_t i = 0; i < keys->len; i++)
		ops[i] = (skh_txn_op_t){ SKH_TXN_OP_PUT, keys->pdata[i], values->pdata[i], 0 };
	if (applying->store->ops->txn(applying->store, &txn, &done, err))
		return true;
	return err->kind == SKH_STORE_UNKNOWN &&
	       applying->store->ops->txn(applying->store, &txn, &done, err);
}

static bool write_parts(applying_t *applying, size_t *written, skh_error_t *err)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) values = g_ptr_array_new();
	GHashTableIter iter;
	gpointer hash;
	gpointer text;

	*written = 0;
	g_hash_table_iter_init(&iter, applying->texts);
	while (g_hash_table_iter_next(&iter, &hash, &text)) {
		if (!is_new_part(applying, hash))
			continue;
		g_ptr_array_add(keys,
				g_strconcat(applying->prefix, SKH_CONFIG_PARTS_PREFIX, hash, NULL));
		g_ptr_array_add(values, text);
		(*written)++;
		if (keys->len < PARTS_PER_TXN)
			continue;
		if (!write_batch(applying, keys, values, err))
			return false;
		g_ptr_array_set_size(keys, 0);
		g_ptr_array_set_size(values, 0);
	}
	return keys->len == 0 || write_batch(applying, keys, values, err);
}

static bool conflict(const applying_t *applying, const skh_config_head_t *winner, skh_error_t *err)
{
	g_autofree char *changed = NULL;

	if (!winner)
		return skh_error_set(err, SKH_CONFLICT, "the configuration was removed meanwhile");
	changed = applying->current ? skh_config_head_changed_parts(applying->current, winner)
				    : g_strdup("everything");
	return skh_error_set(err, SKH_CONFLICT,
			     "revision %" PRId64
			     " by %s was accepted meanwhile; it changed: %.120s",
			     winner->revision, winner->author, changed);
}

/* The head names the attempt that wrote it, so a lost answer can be settled. */
static bool settle(applying_t *applying, skh_error_t *err)
{
	skh_config_head_t *now;
	int64_t mod_revision;
	bool ours;

	if (!read_head(applying, &now, &mod_revision, err)) {
		return skh_error_set(err, SKH_OUTCOME_UNKNOWN,
				     "the key-value service does not say whether revision %" PRId64
				     " was accepted",
				     applying->wanted->revision);
	}
	ours = now && strcmp(now->attempt, applying->wanted->attempt) == 0;
	if (!ours && now && now->revision > applying->wanted->revision)
		(void)skh_error_set(err, SKH_OUTCOME_UNKNOWN,
				    "revision %" PRId64 " has been replaced by %" PRId64
				    "; see the history for whether it was accepted",
				    applying->wanted->revision, now->revision);
	else if (!ours && mod_revision == applying->head_mod_revision)
		(void)skh_error_set(err, SKH_STORE_UNAVAILABLE, "the change was not accepted");
	else if (!ours)
		(void)conflict(applying, now, err);
	skh_config_head_free(now);
	return ours;
}

static bool swap_head(applying_t *applying, skh_error_t *err)
{
	g_autofree char *text = skh_config_head_to_json(applying->wanted);
	g_autofree char *history =
		g_strdup_printf("%s%s%012" PRId64, applying->prefix, SKH_CONFIG_HISTORY_PREFIX,
				applying->wanted->revision);
	const skh_txn_compare_t compare = { applying->head_key, applying->head_mod_revision };
	const skh_txn_op_t ops[] = {
		{ SKH_TXN_OP_PUT, applying->head_key, text, 0 },
		{ SKH_TXN_OP_PUT, history, text, 0 },
	};
	const skh_txn_t txn = {
		.compares = &compare, .n_compares = 1, .ops = ops, .n_ops = G_N_ELEMENTS(ops)
	};
	skh_txn_result_t done;

	if (!applying->store->ops->txn(applying->store, &txn, &done, err))
		return err->kind == SKH_STORE_UNKNOWN && settle(applying, err);
	return done.succeeded || settle(applying, err);
}

static bool check_base(const applying_t *applying, int64_t base, skh_error_t *err)
{
	int64_t revision = applying->current ? applying->current->revision : 0;

	if (base < 0 || base == revision)
		return true;
	return skh_error_set(
		err, SKH_CONFLICT,
		"the change is based on revision %" PRId64 ", but %" PRId64 " by %s is in force",
		base, revision, applying->current ? applying->current->author : "nobody");
}

static bool run(applying_t *applying, const skh_manifest_t *manifest, int64_t base, int64_t floor,
		skh_apply_result_t *result, skh_error_t *err)
{
	if (!read_head(applying, &applying->current, &applying->head_mod_revision, err))
		return false;
	prepare(applying, manifest, floor);
	if (applying->current)
		result->changed_parts =
			skh_config_head_changed_parts(applying->current, applying->wanted);
	else
		result->changed_parts = g_strdup("everything");
	/* A pipeline that repeats itself after a lost answer gets the same result. */
	if (applying->current && *result->changed_parts == '\0') {
		result->unchanged = true;
		result->revision = applying->current->revision;
		return true;
	}
	if (!check_base(applying, base, err) ||
	    !write_parts(applying, &result->parts_written, err) || !swap_head(applying, err))
		return false;
	result->revision = applying->wanted->revision;
	return true;
}

bool skh_apply_manifest(skh_store_t *store, const char *prefix, const skh_manifest_t *manifest,
			int64_t base, int64_t floor, skh_apply_result_t *result, skh_error_t *err)
{
	applying_t applying = { .store = store, .prefix = prefix };
	bool accepted;

	*result = (skh_apply_result_t){ 0 };
	applying.head_key = g_strconcat(prefix, SKH_CONFIG_HEAD_KEY, NULL);
	applying.texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	accepted = run(&applying, manifest, base, floor, result, err);
	skh_config_head_free(applying.current);
	skh_config_head_free(applying.wanted);
	g_hash_table_unref(applying.texts);
	g_free(applying.head_key);
	return accepted;
}

void skh_apply_result_clear(skh_apply_result_t *result)
{
	g_free(result->changed_parts);
	*result = (skh_apply_result_t){ 0 };
}
