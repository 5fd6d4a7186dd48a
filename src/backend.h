#ifndef SKH_BACKEND_H
#define SKH_BACKEND_H

/**
 * DOC: Backend servers
 *
 * How a sidecar speaks to the backend server beside it, behind a small vtable:
 * one implementation for model engines (the OpenAI shape plus resume, cancel
 * and orders), one for plain services.
 */

#include "buffer.h"
#include "error.h"
#include "fetch.h"
#include "rank.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_backend skh_backend_t;

/** struct skh_response_parser - progress of one answer as its protocol sees it */
typedef struct skh_response_parser {
	bool is_stream;		    /* the answer is a stream of events */
	bool end_marker_seen;	    /* the protocol's own end mark was seen */
	skh_buffer_t partial_event; /* start of an event whose end has not come yet */
} skh_response_parser_t;

typedef enum skh_backend_order_kind {
	SKH_BACKEND_ORDER_LOAD_MODEL,
	SKH_BACKEND_ORDER_LOAD_ADAPTER,
	SKH_BACKEND_ORDER_SET_ROLE
} skh_backend_order_kind_t;

#define SKH_BACKEND_ORDER_NAME_BYTES 128

/** struct skh_backend_order - an order that concerns one engine alone */
typedef struct skh_backend_order {
	skh_backend_order_kind_t kind;
	uint64_t fence;
	char name[SKH_BACKEND_ORDER_NAME_BYTES]; /* of the model, adapter or role */
	char version[SKH_BACKEND_ORDER_NAME_BYTES];
} skh_backend_order_t;

/** struct skh_backend_ops - what a protocol implements */
typedef struct skh_backend_ops {
	/* Hand one attempt over. */
	void (*start)(skh_backend_t *backend, skh_fetch_t *fetch, const Skh__Start *start,
		      int64_t finish_by_us, int64_t now_us);
	/* Cut @bytes into what may be passed on now; returns whole events in @out. */
	uint32_t (*parse_chunk)(skh_response_parser_t *answer, const char *content_type,
				skh_chunk_t bytes, skh_buffer_t *out);
	/* Whether an answer that ended without a transfer error is whole. */
	bool (*is_complete)(const skh_response_parser_t *answer, int32_t status);
	/* Stop work on an attempt whose transfer was closed. */
	void (*cancel)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t attempt, uint64_t id,
		       int64_t now_us);
	/* Give the engine an order of a map switch; NULL where there are none. */
	void (*send_map_order)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
			       const skh_order_t *order, const char *placement, int64_t now_us);
	/* Load a model or adapter, change role; NULL where there are none. */
	void (*send_backend_order)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				   const skh_backend_order_t *order, int64_t now_us);
	/* Ask for the load report; NULL where there is none. */
	void (*request_load_report)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				    int64_t now_us);
	/* Ask for cache events from number @from on. */
	void (*request_cache_events)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				     uint64_t from, int64_t now_us);
} skh_backend_ops_t;

/** struct skh_backend - first member of every implementation */
struct skh_backend {
	const skh_backend_ops_t *ops;
	char *url;
};

skh_backend_t *skh_backend_new_engine(const char *url);
skh_backend_t *skh_backend_new_plain(const char *url);
void skh_backend_free(skh_backend_t *backend);

#ifdef __cplusplus
}
#endif
#endif
