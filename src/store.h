#ifndef SKH_STORE_H
#define SKH_STORE_H

/**
 * DOC: Key-value service
 *
 * The platform's service seen through a small vtable, so that another
 * service's protocol is one more file like store_etcd.c. All calls block their
 * thread. A call fails with SKH_STORE_UNAVAILABLE when it certainly had no
 * effect and with SKH_STORE_UNKNOWN when its effect can't be known.
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

/** struct skh_kv_pair - one stored key; owned texts */
typedef struct skh_kv_pair {
	char *key;
	char *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
} skh_kv_pair_t;

/** struct skh_kv_pairs - result of a range; free with skh_kv_pairs_clear() */
typedef struct skh_kv_pairs {
	skh_kv_pair_t *list;
	size_t count;
	int64_t store_revision;
} skh_kv_pairs_t;

void skh_kv_pairs_clear(skh_kv_pairs_t *pairs);

/** skh_kv_pairs_find() - the pair with @key, or NULL */
const skh_kv_pair_t *skh_kv_pairs_find(const skh_kv_pairs_t *pairs, const char *key);

/** struct skh_txn_compare - one guard of a transaction: @key's mod revision; 0 when absent */
typedef struct skh_txn_compare {
	const char *key;
	int64_t mod_revision;
} skh_txn_compare_t;

typedef enum skh_txn_op_type {
	SKH_TXN_OP_PUT,
	SKH_TXN_OP_DELETE,
	SKH_TXN_OP_READ
} skh_txn_op_type_t;

typedef struct skh_txn_op {
	skh_txn_op_type_t type;
	const char *key;
	const char *value;
	int64_t lease;
} skh_txn_op_t;

/**
 * struct skh_txn - all of @ops when every compare holds, else all of @else_ops
 * @n_compares: length of @compares
 * @n_ops: length of @ops
 * @n_else_ops: length of @else_ops
 */
typedef struct skh_txn {
	const skh_txn_compare_t *compares;
	size_t n_compares;
	const skh_txn_op_t *ops;
	size_t n_ops;
	const skh_txn_op_t *else_ops;
	size_t n_else_ops;
} skh_txn_t;

/** struct skh_txn_result - what a transaction did; free with skh_kv_pairs_clear(&pairs) */
typedef struct skh_txn_result {
	bool succeeded;	      /* the compares held and @ops were done */
	skh_kv_pairs_t pairs; /* found by the SKH_TXN_OP_READ ops; absent keys are left out */
} skh_txn_result_t;

/** skh_watch_fn() - one change; @value is NULL for a deletion. Return false to end the watch. */
typedef bool (*skh_watch_fn)(void *context, const char *key, const char *value,
			     int64_t mod_revision);

/** struct skh_kv_change - one change of a key; @value is NULL for a deletion */
typedef struct skh_kv_change {
	char *key;
	char *value;
	int64_t mod_revision;
} skh_kv_change_t;

/** struct skh_kv_changes - in order of their revisions; free with skh_kv_changes_clear() */
typedef struct skh_kv_changes {
	skh_kv_change_t *list;
	size_t count;
	int64_t store_revision; /* to go on from */
} skh_kv_changes_t;

void skh_kv_changes_clear(skh_kv_changes_t *changes);

/** struct skh_store_ops - what a protocol implements */
typedef struct skh_store_ops {
	bool (*range)(skh_store_t *store, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		      skh_error_t *err);
	bool (*txn)(skh_store_t *store, const skh_txn_t *txn, skh_txn_result_t *result,
		    skh_error_t *err);
	bool (*lease_grant)(skh_store_t *store, int64_t ttl_s, int64_t *lease, skh_error_t *err);
	bool (*lease_renew)(skh_store_t *store, int64_t lease, int64_t *ttl_s, skh_error_t *err);
	/* Blocks until @fn ends it, the connection breaks or *@stop becomes true. */
	bool (*watch)(skh_store_t *store, const char *prefix, int64_t from_revision,
		      skh_watch_fn fn, void *context, const bool *stop, skh_error_t *err);
	void (*close)(skh_store_t *store);
	/*
	 * Changes under @prefix after @after_revision, waiting up to @wait_ms for
	 * the first; SKH_STORE_COMPACTED when that history is gone. NULL where
	 * the protocol has only streams.
	 */
	bool (*poll_changes)(skh_store_t *store, const char *prefix, int64_t after_revision,
			     int64_t wait_ms, skh_kv_changes_t *changes, skh_error_t *err);
} skh_store_ops_t;

/** struct skh_store - first member of every implementation */
struct skh_store {
	const skh_store_ops_t *ops;
};

/** skh_store_open_etcd() - etcd v3 over JSON and HTTP; NULL-terminated @endpoints are copied */
skh_store_t *skh_store_open_etcd(const char *const *endpoints, int64_t timeout_ms);

/** skh_store_decode_base64() - text in base64; "" for NULL or ""; free with g_free() */
char *skh_store_decode_base64(const char *base64);

/* Longest answer that is kept: all parts of a configuration at the design size, and more. */
#define SKH_STORE_MAX_RESPONSE_BYTES (64U << 20)

/** skh_store_append_response() - as libcurl's write function; @context is a skh_buffer_t */
size_t skh_store_append_response(char *data, size_t size, size_t n, void *context);

/** skh_store_call_count() - calls made so far by all stores of this process */
uint64_t skh_store_call_count(void);
void skh_store_count_call(void);

#ifdef __cplusplus
}
#endif
#endif
