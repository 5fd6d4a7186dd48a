#ifndef SKH_BACKEND_H
#define SKH_BACKEND_H

/**
 * DOC: Backend servers
 *
 * The HTTP protocol between a sidecar and its backend server, behind a vtable:
 * one implementation for model engines (the OpenAI API plus resume, cancel and
 * orders) and one for plain services. All calls run on the sidecar's event loop
 * thread and do not block: a request is only started, and its result or error
 * arrives through the callbacks of the skh_fetch_t.
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

/** struct skh_response_parser - parse state of one response; zero-initialised */
typedef struct skh_response_parser {
	bool is_stream;		    /* the response is an event stream */
	bool end_marker_seen;	    /* the protocol's end marker has arrived */
	bool is_oversized;	    /* an event was too large; the rest is dropped */
	skh_buffer_t partial_event; /* start of an event that is not complete yet; owned */
} skh_response_parser_t;

typedef enum skh_backend_order_kind {
	SKH_BACKEND_ORDER_LOAD_MODEL,
	SKH_BACKEND_ORDER_LOAD_ADAPTER,
	SKH_BACKEND_ORDER_SET_ROLE
} skh_backend_order_kind_t;

#define SKH_BACKEND_ORDER_NAME_BYTES 128

/** struct skh_backend_order - an order to a single engine, outside of map switches */
typedef struct skh_backend_order {
	skh_backend_order_kind_t kind;
	uint64_t fence;				 /* fencing token */
	char name[SKH_BACKEND_ORDER_NAME_BYTES]; /* model, adapter or role */
	char version[SKH_BACKEND_ORDER_NAME_BYTES];
} skh_backend_order_t;

/**
 * struct skh_backend_ops - operations that a protocol implements
 *
 * @fetch carries out the transfers, @id is the id of the new transfer, and times
 * are in microseconds on the monotonic clock.
 */
typedef struct skh_backend_ops {
	/* Send one attempt's request; the id of its transfer is the attempt's id. */
	void (*start)(skh_backend_t *backend, skh_fetch_t *fetch, const Skh__Start *start,
		      int64_t deadline_us, int64_t now_us);
	/*
	 * Append to @out what may be forwarded now, keeping back an incomplete
	 * event; returns the number of events appended, not counting the end marker.
	 */
	uint32_t (*parse_chunk)(skh_response_parser_t *parser, const char *content_type,
				skh_chunk_t chunk, skh_buffer_t *out);
	/* Whether a response that ended without a transfer error is complete. */
	bool (*is_complete)(const skh_response_parser_t *parser, int32_t status);
	/* Make the backend server stop work on @attempt, whose transfer was closed. */
	void (*cancel)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t attempt, uint64_t id,
		       int64_t now_us);
	/*
	 * Send one step of a map switch to the engine; @map is the new expert map as
	 * JSON, or "" for none. The operation is NULL if the protocol has no orders.
	 */
	void (*send_map_order)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
			       const skh_mapswitch_order_t *order, const char *map, int64_t now_us);
	/* Load a model or adapter, or change role; NULL if the protocol has no orders. */
	void (*send_backend_order)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				   const skh_backend_order_t *order, int64_t now_us);
	/* Request the load report; NULL if the protocol has none. */
	void (*request_load_report)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				    int64_t now_us);
	/* Request cache events from sequence number @from on; NULL if the protocol has none. */
	void (*request_cache_events)(skh_backend_t *backend, skh_fetch_t *fetch, uint64_t id,
				     uint64_t from, int64_t now_us);
} skh_backend_ops_t;

/**
 * struct skh_backend - a backend server
 *
 * An implementation that needs more state embeds this struct as its first member.
 */
struct skh_backend {
	const skh_backend_ops_t *ops;
	char *url; /* base URL, owned */
};

/** skh_backend_new_engine() - backend of a model engine at @url, which is copied */
skh_backend_t *skh_backend_new_engine(const char *url);

/** skh_backend_new_plain() - backend of a plain service at @url, which is copied */
skh_backend_t *skh_backend_new_plain(const char *url);
void skh_backend_free(skh_backend_t *backend);

#ifdef __cplusplus
}
#endif
#endif
