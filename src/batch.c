#include "batch.h"

#include <glib.h>
#include <string.h>

#define MAX_ROUNDS 4

/* The writes that are still pending, as one transaction. */
typedef struct round {
	skh_txn_compare_t compares[SKH_BATCH_MAX_WRITES];
	skh_txn_op_t puts[SKH_BATCH_MAX_WRITES];
	skh_txn_op_t reads[SKH_BATCH_MAX_WRITES];
	size_t n;
} round_t;

static void gather(const skh_write_t *writes, size_t n_writes, round_t *round)
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

static void finish_pending(skh_write_t *writes, size_t n_writes, int64_t mod_revision)
{
	for (size_t i = 0; i < n_writes; i++) {
		if (writes[i].state != SKH_WRITE_PENDING)
			continue;
		writes[i].state = SKH_WRITE_DONE;
		writes[i].mod_revision = mod_revision;
	}
}

static void fail_pending(skh_write_t *writes, size_t n_writes, const skh_error_t *err)
{
	for (size_t i = 0; i < n_writes; i++) {
		if (writes[i].state != SKH_WRITE_PENDING)
			continue;
		writes[i].state = SKH_WRITE_FAILED;
		writes[i].err = *err;
	}
}

/* What is stored tells each pending write whether it was done, lost or is still to do. */
static void judge_pending(skh_write_t *writes, size_t n_writes, const skh_kv_pairs_t *pairs)
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
	judge_pending(writes, n_writes, &result.pairs);
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/* Returns false when nothing more can be learnt now. */
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
		finish_pending(writes, n_writes, result.pairs.store_revision);
	else
		judge_pending(writes, n_writes, &result.pairs);
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

void skh_batch_run(skh_store_t *store, skh_write_t *writes, size_t n_writes)
{
	round_t round;
	skh_error_t err;
	bool sent_unknown = false;

	for (int32_t i = 0; i < MAX_ROUNDS; i++) {
		bool learnt;

		gather(writes, n_writes, &round);
		if (round.n == 0)
			return;
		err.kind = SKH_OK;
		learnt = run_round(store, writes, n_writes, &round, &err);
		sent_unknown = sent_unknown || err.kind == SKH_STORE_UNKNOWN;
		if (!learnt)
			break;
	}
	/* One round whose fate is open makes the whole attempt unknown. */
	if (sent_unknown || err.kind == SKH_OK)
		(void)skh_error_set(&err, SKH_STORE_UNKNOWN, "the write could not be settled");
	fail_pending(writes, n_writes, &err);
}
