#ifndef SKH_FAKE_STORE_H
#define SKH_FAKE_STORE_H

// In-memory implementation of skh_store_t for unit tests. Faults can be injected into the
// Nth transaction. Not thread-safe.

#include "store.h"

#include <glib.h>

#include <functional>
#include <map>
#include <string>

struct FakeValue {
	std::string value;
	int64_t create_revision = 0;
	int64_t mod_revision = 0;
	int64_t lease = 0;
};

struct FakeStore {
	FakeStore();

	skh_store_t base;
	std::map<std::string, FakeValue> values;
	int64_t revision = 1;
	int64_t next_lease = 1;
	int n_txns = 0;
	int n_ranges = 0;
	int64_t lost_lease = 0; /* has expired; cannot be renewed */
	bool is_down = false;	/* every call fails with SKH_STORE_UNAVAILABLE */
	// Faults in one transaction, by its number from 1; 0 disables a fault.
	int lose_response_of_txn = 0;	 /* applied, but the caller gets SKH_STORE_UNKNOWN */
	int drop_txn = 0;		 /* not applied, the caller gets SKH_STORE_UNKNOWN */
	bool is_down_after_loss = false; /* down from a lost response on */
	int hooked_txn = 0;		 /* @before_txn_hook runs before this transaction */
	std::function<void()> before_txn_hook;
};

namespace fake_store
{

inline FakeStore *from_base(skh_store_t *store)
{
	return reinterpret_cast<FakeStore *>(store);
}

inline bool range(skh_store_t *store, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		  skh_error_t *err)
{
	FakeStore *fake = from_base(store);

	*pairs = {};
	fake->n_ranges++;
	if (fake->is_down)
		return skh_error_set(err, SKH_STORE_UNAVAILABLE, "the fake is down");
	pairs->list = g_new0(skh_kv_pair_t, fake->values.size());
	pairs->store_revision = fake->revision;
	for (const auto &[name, value] : fake->values) {
		const bool matches = prefix ? name.rfind(key, 0) == 0 : name == key;

		if (!matches)
			continue;
		skh_kv_pair_t *pair = &pairs->list[pairs->count++];
		*pair = { g_strdup(name.c_str()), g_strdup(value.value.c_str()),
			  value.create_revision, value.mod_revision, value.lease };
	}
	return true;
}

inline bool has_expected_revisions(FakeStore *fake, const skh_txn_t *txn)
{
	for (size_t i = 0; i < txn->n_compares; i++) {
		auto found = fake->values.find(txn->compares[i].key);
		const int64_t revision =
			found == fake->values.end() ? 0 : found->second.mod_revision;

		if (revision != txn->compares[i].mod_revision)
			return false;
	}
	return true;
}

inline void add_pair(FakeStore *fake, const char *key, skh_kv_pairs_t *pairs)
{
	auto found = fake->values.find(key);

	if (found == fake->values.end())
		return;
	pairs->list = g_renew(skh_kv_pair_t, pairs->list, pairs->count + 1);
	pairs->list[pairs->count++] = { g_strdup(key), g_strdup(found->second.value.c_str()),
					found->second.create_revision, found->second.mod_revision,
					found->second.lease };
}

inline void run_ops(FakeStore *fake, const skh_txn_op_t *ops, size_t n_ops, skh_kv_pairs_t *pairs)
{
	bool is_write = false;

	for (size_t i = 0; i < n_ops; i++)
		is_write = is_write || ops[i].type != SKH_TXN_OP_READ;
	fake->revision += is_write;
	for (size_t i = 0; i < n_ops; i++) {
		const skh_txn_op_t &op = ops[i];

		if (op.type == SKH_TXN_OP_READ) {
			add_pair(fake, op.key, pairs);
			continue;
		}
		if (op.type == SKH_TXN_OP_DELETE) {
			fake->values.erase(op.key);
			continue;
		}
		FakeValue &value = fake->values[op.key];
		if (value.create_revision == 0)
			value.create_revision = fake->revision;
		value.value = op.value;
		value.mod_revision = fake->revision;
		value.lease = op.lease;
	}
}

inline bool txn(skh_store_t *store, const skh_txn_t *txn, skh_txn_result_t *result,
		skh_error_t *err)
{
	FakeStore *fake = from_base(store);
	const int txn_number = ++fake->n_txns;

	*result = {};
	if (fake->is_down)
		return skh_error_set(err, SKH_STORE_UNAVAILABLE, "the fake is down");
	if (txn_number == fake->hooked_txn && fake->before_txn_hook)
		fake->before_txn_hook();
	if (txn_number == fake->drop_txn)
		return skh_error_set(err, SKH_STORE_UNKNOWN, "the fake dropped the transaction");
	result->succeeded = has_expected_revisions(fake, txn);
	if (result->succeeded)
		run_ops(fake, txn->ops, txn->n_ops, &result->pairs);
	else
		run_ops(fake, txn->else_ops, txn->n_else_ops, &result->pairs);
	result->pairs.store_revision = fake->revision;
	if (txn_number == fake->lose_response_of_txn) {
		fake->is_down = fake->is_down_after_loss;
		skh_kv_pairs_clear(&result->pairs);
		return skh_error_set(err, SKH_STORE_UNKNOWN, "the fake lost the response");
	}
	return true;
}

inline bool lease_grant(skh_store_t *store, int64_t ttl_s, int64_t *lease, skh_error_t *err)
{
	FakeStore *fake = from_base(store);

	(void)ttl_s;
	if (fake->is_down)
		return skh_error_set(err, SKH_STORE_UNAVAILABLE, "the fake is down");
	*lease = fake->next_lease++;
	return true;
}

inline bool lease_keep(skh_store_t *store, int64_t lease, int64_t *ttl_s, skh_error_t *err)
{
	*ttl_s = from_base(store)->is_down || lease == from_base(store)->lost_lease ? 0 : 1;
	if (from_base(store)->is_down)
		return skh_error_set(err, SKH_STORE_UNAVAILABLE, "the fake is down");
	return true;
}

inline bool watch(skh_store_t *, const char *, int64_t, skh_watch_fn, void *, const bool *,
		  skh_error_t *err)
{
	return skh_error_set(err, SKH_STORE_UNAVAILABLE, "the fake has no watch");
}

inline void close(skh_store_t *)
{
}

inline const skh_store_ops_t ops = { range, txn, lease_grant, lease_keep, watch, close, nullptr };

} // namespace fake_store

inline FakeStore::FakeStore()
{
	base.ops = &fake_store::ops;
}

#endif
