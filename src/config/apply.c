#include "apply.h"

#include "clock.h"
#include "config_watcher.h"

#include <inttypes.h>
#include <string.h>

#define MAX_PARTS_PER_TXN 32

/* Inputs and intermediate results of one skh_apply_manifest() call. */
typedef struct apply_state {
	skh_store_t *store;
	const char *prefix;
	char *head_key;
	skh_config_head_t *current; /* stored head; NULL before the first configuration */
	int64_t head_mod_revision;  /* store revision of @current, compared by the swap */
	skh_config_head_t *next;    /* head to write */
	GHashTable *part_texts;	    /* hash -> text of the parts of @next */
} apply_state_t;

static bool read_head(apply_state_t *state, skh_config_head_t **head, int64_t *mod_revision,
		      skh_error_t *err)
{
	skh_kv_pairs_t pairs;
	bool is_valid = true;

	*head = NULL;
	*mod_revision = 0;
	if (!state->store->ops->range(state->store, state->head_key, false, &pairs, err))
		return false;
	if (pairs.count == 1) {
		*head = skh_config_head_parse(pairs.list[0].value, err);
		*mod_revision = pairs.list[0].mod_revision;
		is_valid = *head != NULL;
	}
	skh_kv_pairs_clear(&pairs);
	return is_valid;
}

static void build_next_head(apply_state_t *state, const skh_manifest_t *manifest,
			    int64_t min_revision)
{
	g_autoptr(GHashTable) parts =
		skh_config_parts_split(skh_manifest_tree(manifest), state->part_texts);
	int64_t current = state->current ? state->current->revision : 0;
	int64_t revision = MAX(current, min_revision) + 1;
	g_autofree char *apply_id = g_strdup_printf("%016" PRIx64, skh_random_u64());

	state->next = skh_config_head_new(revision, skh_manifest_author(manifest),
					  skh_manifest_reason(manifest), apply_id,
					  skh_clock_unix_ms(), parts);
}

static bool is_new_hash(const apply_state_t *state, const char *hash)
{
	GHashTableIter iter;
	gpointer known_hash;

	if (!state->current)
		return true;
	g_hash_table_iter_init(&iter, state->current->part_hashes);
	while (g_hash_table_iter_next(&iter, NULL, &known_hash)) {
		if (strcmp(known_hash, hash) == 0)
			return false;
	}
	return true;
}

/*
 * Writes parts in one transaction, and once more when the outcome of the first one is unknown.
 * A part is immutable and its key is the hash of its content, so a second write has no effect.
 */
static bool write_batch(apply_state_t *state, const GPtrArray *keys, const GPtrArray *values,
			skh_error_t *err)
{
	g_autofree skh_txn_op_t *ops = g_new0(skh_txn_op_t, keys->len);
	skh_txn_t txn = { .ops = ops, .n_ops = keys->len };
	skh_txn_result_t txn_result;

	for (size_t i = 0; i < keys->len; i++)
		ops[i] = (skh_txn_op_t){ SKH_TXN_OP_PUT, keys->pdata[i], values->pdata[i], 0 };
	if (state->store->ops->txn(state->store, &txn, &txn_result, err))
		return true;
	return err->kind == SKH_STORE_UNKNOWN &&
	       state->store->ops->txn(state->store, &txn, &txn_result, err);
}

static bool write_parts(apply_state_t *state, size_t *n_written, skh_error_t *err)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) values = g_ptr_array_new();
	GHashTableIter iter;
	gpointer hash;
	gpointer text;

	*n_written = 0;
	g_hash_table_iter_init(&iter, state->part_texts);
	while (g_hash_table_iter_next(&iter, &hash, &text)) {
		if (!is_new_hash(state, hash))
			continue;
		g_ptr_array_add(keys,
				g_strconcat(state->prefix, SKH_CONFIG_PARTS_PREFIX, hash, NULL));
		g_ptr_array_add(values, text);
		(*n_written)++;
		if (keys->len < MAX_PARTS_PER_TXN)
			continue;
		if (!write_batch(state, keys, values, err))
			return false;
		g_ptr_array_set_size(keys, 0);
		g_ptr_array_set_size(values, 0);
	}
	return keys->len == 0 || write_batch(state, keys, values, err);
}

static bool set_conflict_error(const apply_state_t *state, const skh_config_head_t *stored,
			       skh_error_t *err)
{
	g_autofree char *changed = NULL;

	if (!stored)
		return skh_error_set(err, SKH_CONFLICT,
				     "the configuration was removed concurrently");
	changed = state->current ? skh_config_head_changed_parts(state->current, stored)
				 : g_strdup("everything");
	return skh_error_set(err, SKH_CONFLICT,
			     "revision %" PRId64
			     " by %s was accepted concurrently; it changed: %.120s",
			     stored->revision, stored->author, changed);
}

/*
 * Determines whether the head was swapped when the response was lost or the compare failed. The
 * head holds the id of the apply that wrote it, so reading the head back shows whose write won.
 */
static bool check_swap_outcome(apply_state_t *state, skh_error_t *err)
{
	skh_config_head_t *latest;
	int64_t mod_revision;
	bool is_ours;

	if (!read_head(state, &latest, &mod_revision, err)) {
		return skh_error_set(
			err, SKH_OUTCOME_UNKNOWN,
			"reading the head back failed; it is unknown whether revision %" PRId64
			" was accepted",
			state->next->revision);
	}
	is_ours = latest && strcmp(latest->apply_id, state->next->apply_id) == 0;
	if (!is_ours && latest && latest->revision > state->next->revision)
		(void)skh_error_set(err, SKH_OUTCOME_UNKNOWN,
				    "revision %" PRId64 " has been replaced by %" PRId64
				    "; the history shows whether it was accepted",
				    state->next->revision, latest->revision);
	else if (!is_ours && mod_revision == state->head_mod_revision)
		(void)skh_error_set(err, SKH_STORE_UNAVAILABLE,
				    "the head in the key-value service is unchanged; the change "
				    "was not accepted");
	else if (!is_ours)
		(void)set_conflict_error(state, latest, err);
	skh_config_head_free(latest);
	return is_ours;
}

static bool swap_head(apply_state_t *state, skh_error_t *err)
{
	g_autofree char *text = skh_config_head_to_json(state->next);
	g_autofree char *history_key = g_strdup_printf(
		"%s%s%012" PRId64, state->prefix, SKH_CONFIG_HISTORY_PREFIX, state->next->revision);
	const skh_txn_compare_t compare = { state->head_key, state->head_mod_revision };
	const skh_txn_op_t ops[] = {
		{ SKH_TXN_OP_PUT, state->head_key, text, 0 },
		{ SKH_TXN_OP_PUT, history_key, text, 0 },
	};
	const skh_txn_t txn = {
		.compares = &compare, .n_compares = 1, .ops = ops, .n_ops = G_N_ELEMENTS(ops)
	};
	skh_txn_result_t txn_result;

	if (!state->store->ops->txn(state->store, &txn, &txn_result, err))
		return err->kind == SKH_STORE_UNKNOWN && check_swap_outcome(state, err);
	return txn_result.succeeded || check_swap_outcome(state, err);
}

static bool check_base_revision(const apply_state_t *state, int64_t base_revision, skh_error_t *err)
{
	int64_t revision = state->current ? state->current->revision : 0;

	if (base_revision < 0 || base_revision == revision)
		return true;
	return skh_error_set(
		err, SKH_CONFLICT,
		"the change is based on revision %" PRId64 ", but %" PRId64 " by %s is in force",
		base_revision, revision, state->current ? state->current->author : "nobody");
}

static bool apply_change(apply_state_t *state, const skh_manifest_t *manifest,
			 int64_t base_revision, int64_t min_revision, skh_apply_result_t *result,
			 skh_error_t *err)
{
	if (!read_head(state, &state->current, &state->head_mod_revision, err))
		return false;
	build_next_head(state, manifest, min_revision);
	if (state->current)
		result->changed_parts = skh_config_head_changed_parts(state->current, state->next);
	else
		result->changed_parts = g_strdup("everything");
	/* A deployment pipeline that retries after a lost response gets the same result. */
	if (state->current && *result->changed_parts == '\0') {
		result->is_unchanged = true;
		result->revision = state->current->revision;
		return true;
	}
	if (!check_base_revision(state, base_revision, err) ||
	    !write_parts(state, &result->n_parts_written, err) || !swap_head(state, err))
		return false;
	result->revision = state->next->revision;
	return true;
}

bool skh_apply_manifest(skh_store_t *store, const char *prefix, const skh_manifest_t *manifest,
			int64_t base_revision, int64_t min_revision, skh_apply_result_t *result,
			skh_error_t *err)
{
	apply_state_t state = { .store = store, .prefix = prefix };
	bool is_accepted;

	*result = (skh_apply_result_t){ 0 };
	state.head_key = g_strconcat(prefix, SKH_CONFIG_HEAD_KEY, NULL);
	state.part_texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	is_accepted = apply_change(&state, manifest, base_revision, min_revision, result, err);
	skh_config_head_free(state.current);
	skh_config_head_free(state.next);
	g_hash_table_unref(state.part_texts);
	g_free(state.head_key);
	return is_accepted;
}

void skh_apply_result_clear(skh_apply_result_t *result)
{
	g_free(result->changed_parts);
	*result = (skh_apply_result_t){ 0 };
}
