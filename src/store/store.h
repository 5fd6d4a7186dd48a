#ifndef SKH_STORE_H
#define SKH_STORE_H

/**
 * DOC: Store
 *
 * Interface to the store: the platform's key-value service. Each protocol implements the
 * same table of operations, in a file of its own such as store_etcd.c. All
 * operations block the calling thread and can be called from several threads. An
 * operation fails with SKH_STORE_UNAVAILABLE when it certainly had no effect and
 * with SKH_STORE_UNKNOWN when its effect is unknown.
 */

#include "buffer.h"
#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_store skh_store_t;

/** struct skh_kv_pair - one stored key with its value; texts are owned */
typedef struct skh_kv_pair {
	char *key;
	char *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease; /* 0 for none */
} skh_kv_pair_t;

/** struct skh_kv_pairs - list of pairs; to be freed with skh_kv_pairs_clear() */
typedef struct skh_kv_pairs {
	skh_kv_pair_t *list;
	size_t count;
	int64_t store_revision; /* revision of the store when the pairs were read */
} skh_kv_pairs_t;

/** skh_kv_pairs_clear() - free the contents of @pairs and reset it */
void skh_kv_pairs_clear(skh_kv_pairs_t *pairs);

/** skh_kv_pairs_find() - pair with @key, owned by @pairs; NULL for none */
const skh_kv_pair_t *skh_kv_pairs_find(const skh_kv_pairs_t *pairs, const char *key);

/** struct skh_txn_compare - condition: @key has this mod revision; 0 means that it is absent */
typedef struct skh_txn_compare {
	const char *key;
	int64_t mod_revision;
} skh_txn_compare_t;

/** enum skh_txn_op_type - type of an operation */
typedef enum skh_txn_op_type {
	SKH_TXN_OP_PUT,
	SKH_TXN_OP_DELETE,
	SKH_TXN_OP_READ
} skh_txn_op_type_t;

/** struct skh_txn_op - one operation of a transaction; texts are borrowed */
typedef struct skh_txn_op {
	skh_txn_op_type_t type;
	const char *key;
	const char *value; /* for SKH_TXN_OP_PUT */
	int64_t lease;	   /* for SKH_TXN_OP_PUT; 0 for none */
} skh_txn_op_t;

/**
 * struct skh_txn - atomic transaction
 * @compares: conditions
 * @n_compares: number of @compares
 * @ops: operations executed when all conditions hold
 * @n_ops: number of @ops
 * @else_ops: operations executed when a condition fails
 * @n_else_ops: number of @else_ops
 */
typedef struct skh_txn {
	const skh_txn_compare_t *compares;
	size_t n_compares;
	const skh_txn_op_t *ops;
	size_t n_ops;
	const skh_txn_op_t *else_ops;
	size_t n_else_ops;
} skh_txn_t;

/** struct skh_txn_result - result of a transaction; @pairs is to be cleared by the caller */
typedef struct skh_txn_result {
	bool succeeded;	      /* all conditions held and @ops were executed */
	skh_kv_pairs_t pairs; /* read by SKH_TXN_OP_READ; without absent keys */
} skh_txn_result_t;

/**
 * skh_watch_fn() - callback of a watch for one change
 * @context: context passed to the watch
 * @key: changed key; borrowed
 * @value: new value, borrowed; NULL for a deletion
 * @mod_revision: revision of the change
 *
 * Return: false to end the watch.
 */
typedef bool (*skh_watch_fn)(void *context, const char *key, const char *value,
			     int64_t mod_revision);

/** struct skh_kv_change - one change of a key; @value is NULL for a deletion */
typedef struct skh_kv_change {
	char *key;
	char *value;
	int64_t mod_revision;
} skh_kv_change_t;

/** struct skh_kv_changes - changes in order of revision; to be freed with skh_kv_changes_clear() */
typedef struct skh_kv_changes {
	skh_kv_change_t *list;
	size_t count;
	int64_t store_revision; /* @after_revision of the next poll */
} skh_kv_changes_t;

/** skh_kv_changes_clear() - free the contents of @changes and reset it */
void skh_kv_changes_clear(skh_kv_changes_t *changes);

/**
 * struct skh_store_ops - operations of a protocol
 *
 * Operations return true on success and set @err on failure. Results are owned by
 * the caller. Durations of leases are in seconds.
 */
typedef struct skh_store_ops {
	/* Reads @key, or all keys that start with @key when @prefix is true. */
	bool (*range)(skh_store_t *store, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		      skh_error_t *err);
	/* Executes a transaction; a failed condition is no error. */
	bool (*txn)(skh_store_t *store, const skh_txn_t *txn, skh_txn_result_t *result,
		    skh_error_t *err);
	/* Creates a lease that expires after @ttl_s unless it is renewed. */
	bool (*lease_grant)(skh_store_t *store, int64_t ttl_s, int64_t *lease, skh_error_t *err);
	/* Renews a lease; *@ttl_s is the new time to live, 0 for an expired lease. */
	bool (*lease_renew)(skh_store_t *store, int64_t lease, int64_t *ttl_s, skh_error_t *err);
	/*
	 * Passes each change of keys that start with @prefix to @fn, starting with
	 * @from_revision. Blocks until @fn returns false or the store cancels the watch
	 * (success), or until the connection closes or another thread sets *@stop (failure).
	 */
	bool (*watch)(skh_store_t *store, const char *prefix, int64_t from_revision,
		      skh_watch_fn fn, void *context, const bool *stop, skh_error_t *err);
	void (*close)(skh_store_t *store);
	/*
	 * Reads the changes of keys that start with @prefix after @after_revision and
	 * waits up to @wait_ms for the first one. Fails with SKH_STORE_COMPACTED when
	 * the store no longer has these revisions. NULL for protocols that only
	 * have watches.
	 */
	bool (*poll_changes)(skh_store_t *store, const char *prefix, int64_t after_revision,
			     int64_t wait_ms, skh_kv_changes_t *changes, skh_error_t *err);
} skh_store_ops_t;

/** struct skh_store - a store; first member of the struct of each implementation */
struct skh_store {
	const skh_store_ops_t *ops;
	int64_t era; /* see skh_store_era(); atomic */
};

/**
 * skh_store_era() - how often the store has come back from an older copy
 *
 * As of the last response. In a new era the store lacks its latest changes and leases, and gives
 * out their revisions and lease ids again, so none of an earlier era may be compared with or
 * renewed. Safe to call from any thread.
 *
 * Return: the era, which only rises; 0 if the store does not report one.
 */
static inline int64_t skh_store_era(const skh_store_t *store)
{
	return __atomic_load_n(&store->era, __ATOMIC_ACQUIRE);
}

/**
 * skh_store_open_etcd() - open a store that uses the JSON gateway of etcd v3 over HTTP
 * @endpoints: base URLs, NULL-terminated; copied
 * @timeout_ms: timeout of a call to one endpoint
 *
 * Return: a store to be freed with its close operation.
 */
skh_store_t *skh_store_open_etcd(const char *const *endpoints, int64_t timeout_ms);

/**
 * skh_store_decode_base64() - decode a base64 text
 * @base64: encoded text; may be NULL
 *
 * Return: an owned text, to be freed with g_free(); "" for NULL or "".
 */
char *skh_store_decode_base64(const char *base64);

/* Maximum size of a response; all parts of a configuration at the design size fit. */
#define SKH_STORE_MAX_RESPONSE_BYTES (64U << 20)

/**
 * skh_store_append_response() - libcurl write callback that collects a response
 * @data: received bytes
 * @size: size of an element
 * @n: number of elements
 * @context: skh_buffer_t to append to
 *
 * Return: the number of bytes taken; 0, which ends the transfer, for a response above
 * SKH_STORE_MAX_RESPONSE_BYTES.
 */
size_t skh_store_append_response(char *data, size_t size, size_t n, void *context);

/** skh_store_call_count() - number of calls by all stores of this process */
uint64_t skh_store_call_count(void);

/** skh_store_record_call() - count one call; for implementations */
void skh_store_record_call(void);

#ifdef __cplusplus
}
#endif
#endif
