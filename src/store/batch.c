#include "batch.h"

#include <glib.h>
#include <string.h>

#define MAX_ROUNDS 4

/* One transaction with all writes that are still pending. */
typedef struct round {
	skh_txn_compare_t compares[SKH_BATCH_MAX_WRITES];
	skh_txn_op_t puts[SKH_BATCH_MAX_WRITES];
	skh_txn_op_t reads[SKH_BATCH_MAX_WRITES];
	size_t n;
} round_t;

static void build_round(const skh_write_t *writes, size_t n_writes, round_t *round)
{
	round->n = 0;
	for (size_t i = 0; i < n_writes; i++) {
		const skh_write_t *write = &writes[i];

		if (write->state != SKH_WRITE_PENDING)
			continue;
		round->compares[round->n] =
			(skh_txn_compare_t){ write->key, write->expected_revision };
		round->puts[round->n] =
			(skh_txn_op_t){ SKH_TXN_OP_PUT, write->key, write->value, write->lease_id };
		round->reads[round->n] = (skh_txn_op_t){ SKH_TXN_OP_READ, write->key, NULL, 0 };
		round->n++;
	}
}

static void mark_pending_done(skh_write_t *writes, size_t n_writes, int64_t mod_revision)
{
	for (size_t i = 0; i < n_writes; i++) {
		if (writes[i].state != SKH_WRITE_PENDING)
			continue;
		writes[i].state = SKH_WRITE_DONE;
		writes[i].mod_revision = mod_revision;
	}
}

static void mark_pending_failed(skh_write_t *writes, size_t n_writes, const skh_error_t *err)
{
	for (size_t i = 0; i < n_writes; i++) {
		if (writes[i].state != SKH_WRITE_PENDING)
			continue;
		writes[i].state = SKH_WRITE_FAILED;
		writes[i].err = *err;
	}
}

/*
 * Sets pending writes to done or conflict according to the stored values. A write whose key still
 * has the expected revision stays pending.
 */
static void resolve_pending(skh_write_t *writes, size_t n_writes, const skh_kv_pairs_t *pairs)
{
	for (size_t i = 0; i < n_writes; i++) {
		skh_write_t *write = &writes[i];
		const skh_kv_pair_t *pair;

		if (write->state != SKH_WRITE_PENDING)
			continue;
		pair = skh_kv_pairs_find(pairs, write->key);
		if (pair && strcmp(pair->value, write->value) == 0) {
			write->state = SKH_WRITE_DONE;
			write->mod_revision = pair->mod_revision;
		} else if ((pair ? pair->mod_revision : 0) != write->expected_revision) {
			write->state = SKH_WRITE_CONFLICT;
			write->mod_revision = pair ? pair->mod_revision : 0;
			write->found_value = pair ? g_strdup(pair->value) : NULL;
		}
	}
}

static bool read_back(skh_store_t *store, skh_write_t *writes, size_t n_writes,
		      const round_t *round, skh_error_t *err)
{
	const skh_txn_t txn = { .ops = round->reads, .n_ops = round->n };
	skh_txn_result_t result;

	if (!store->ops->txn(store, &txn, &result, err))
		return false;
	resolve_pending(writes, n_writes, &result.pairs);
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/*
 * Returns false when no further round is to be tried now: the transaction failed without effect, or
 * its outcome is unknown and reading back failed.
 */
static bool run_round(skh_store_t *store, skh_write_t *writes, size_t n_writes,
		      const round_t *round, skh_error_t *err)
{
	const skh_txn_t txn = {
		.compares = round->compares,
		.n_compares = round->n,
		.ops = round->puts,
		.n_ops = round->n,
		.else_ops = round->reads,
		.n_else_ops = round->n,
	};
	skh_txn_result_t result;
	skh_error_t read_err;

	if (!store->ops->txn(store, &txn, &result, err)) {
		if (err->kind != SKH_STORE_UNKNOWN)
			return false;
		return read_back(store, writes, n_writes, round, &read_err);
	}
	if (result.succeeded)
		mark_pending_done(writes, n_writes, result.pairs.store_revision);
	else
		resolve_pending(writes, n_writes, &result.pairs);
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

void skh_batch_run(skh_store_t *store, skh_write_t *writes, size_t n_writes)
{
	round_t round;
	skh_error_t err;
	bool has_unknown_outcome = false;

	for (int32_t i = 0; i < MAX_ROUNDS; i++) {
		bool can_retry;

		build_round(writes, n_writes, &round);
		if (round.n == 0)
			return;
		err.kind = SKH_OK;
		can_retry = run_round(store, writes, n_writes, &round, &err);
		has_unknown_outcome = has_unknown_outcome || err.kind == SKH_STORE_UNKNOWN;
		if (!can_retry)
			break;
	}
	/*
	 * After a round of unknown outcome, any pending write may have been stored. Writes that are
	 * still pending after the last round are reported in the same way.
	 */
	if (has_unknown_outcome || err.kind == SKH_OK)
		(void)skh_error_set(&err, SKH_STORE_UNKNOWN,
				    "could not determine whether the write was stored");
	mark_pending_failed(writes, n_writes, &err);
}
