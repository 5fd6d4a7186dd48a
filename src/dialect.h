#ifndef SKH_DIALECT_H
#define SKH_DIALECT_H

/**
 * DOC: Dialects
 *
 * What differs between deployments in how callers, backend servers and the
 * store are spoken to: names of headers, the form of the configuration and of
 * the list of backend servers, calls to engines. The product has no dialect of
 * its own on this path; a folder beside the sources provides one.
 */

#include "buffer.h"
#include "error.h"
#include "roster.h"
#include "routing.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_header_name - headers that the gateway reads or sets */
typedef enum skh_header_name {
	SKH_HEADER_ATTEMPT_ID,	      /* one try of a caller; echoed by the server */
	SKH_HEADER_DEADLINE,	      /* milliseconds that are left */
	SKH_HEADER_LAST_EVENT,	      /* a stream goes on after this event */
	SKH_HEADER_SIGNATURE,	      /* of the backend server that made an answer */
	SKH_HEADER_CUSTOMER,	      /* whose key the caller sent */
	SKH_HEADER_EXPECTED_INSTANCE, /* the server that a request is meant for */
	SKH_HEADER_LOAD,	      /* running, waiting, slots */
	SKH_HEADER_NOT_RUN,	      /* the server did not run the request */
	SKH_HEADER_FAULTY_SERVER,     /* the server at fault in a group */
	SKH_HEADER_PRIORITY,	      /* of a request at an engine */
	SKH_HEADER_TOKENS,	      /* prompt tokens, most output tokens */
	SKH_HEADER_LENGTH_HINT,	      /* the caller's estimate of the output tokens */
	SKH_HEADER_COUNT
} skh_header_name_t;

/** struct skh_engine_report - an engine's state */
typedef struct skh_engine_report {
	bool in_group;
	bool group_open;
	char group[64];
	uint32_t group_size;
	uint32_t rank;
	int64_t epoch;
	int64_t orders_accepted; /* orders accepted */
	int64_t pass;		 /* last that was begun */
	int64_t map_version;
	int64_t prepared_version; /* map version whose copies are complete; 0 for none */
	int64_t armed_version;	  /* map version to switch to; 0 for none */
	int64_t held_pass;	  /* pass that is not begun before its release; 0 for none */
	double slowdown;	  /* over 1: slow */
} skh_engine_report_t;

/** enum skh_engine_op - orders of a map switch */
typedef enum skh_engine_op {
	SKH_ENGINE_PREPARE, /* copy what the map needs */
	SKH_ENGINE_ARM,	    /* switch as the pass begins */
	SKH_ENGINE_DISARM,
	SKH_ENGINE_HOLD, /* do not begin the pass */
	SKH_ENGINE_GO	 /* end the hold on the pass */
} skh_engine_op_t;

/** struct skh_engine_order - one order; fields that its kind does not use are ignored */
typedef struct skh_engine_order {
	skh_engine_op_t op;
	int64_t map_version;
	int64_t pass;
	int64_t epoch;
	int64_t fence;
	const uint32_t *map; /* expert + 1, [sets][ranks][places]; 0 for an empty place */
	uint32_t n_sets;
	uint32_t n_ranks;
	uint32_t n_slots;
} skh_engine_order_t;

/** struct skh_engine_counts - tokens that chose each expert since the engine's start */
typedef struct skh_engine_counts {
	int64_t epoch;
	int64_t pass;
	uint32_t n;
	double *counts; /* [sets x experts], free with g_free() */
} skh_engine_counts_t;

/** struct skh_dialect - one deployment's way of speaking */
typedef struct skh_dialect {
	const char *name;
	const char *headers[SKH_HEADER_COUNT];
	const char *auth_scheme;    /* before a caller's key */
	const char *config_key;	    /* of the configuration in the store */
	const char *servers_prefix; /* of the list of backend servers */
	const char *order_path;
	const char *report_path;
	const char *counts_path;
	const char *map_path;
	skh_store_t *(*open_store)(const char *endpoint, int64_t timeout_ms);
	/* NULL with @err when the document can't be read. */
	skh_routing_t *(*read_config)(skh_chunk_t text, skh_error_t *err);
	/* NULL with @err when the entry names no server to use. */
	skh_server_t *(*read_server)(const char *id, skh_chunk_t text, skh_error_t *err);
	bool (*read_report)(skh_chunk_t text, skh_engine_report_t *report, skh_error_t *err);
	bool (*read_counts)(skh_chunk_t text, skh_engine_counts_t *counts, skh_error_t *err);
	/* The map in use and its version: expert + 1 of this rank, [sets][places]. */
	bool (*read_map)(skh_chunk_t text, uint32_t sets, uint32_t places, uint32_t *map,
			 int64_t *version, skh_error_t *err);
	/* JSON to be freed with free(). */
	char *(*write_order)(const skh_engine_order_t *order);
} skh_dialect_t;

/** skh_dialect_find() - the dialect called @name, or NULL with @err */
const skh_dialect_t *skh_dialect_find(const char *name, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
