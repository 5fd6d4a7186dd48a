#ifndef SKH_DIALECT_H
#define SKH_DIALECT_H

/**
 * DOC: Dialects
 *
 * Table of what differs between deployments in the protocols with callers,
 * backend servers, engines and the store: header names, store keys, document
 * formats, and engine requests. A dialect is constant and its functions are
 * pure apart from open_store. src/ contains no dialect of its own; platform/
 * provides one.
 */

#include "buffer.h"
#include "error.h"
#include "roster.h"
#include "routing.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_header_name - HTTP headers that the gateway reads or sets */
typedef enum skh_header_name {
	SKH_HEADER_ATTEMPT_ID,	      /* caller's id of its attempt; echoed by the server */
	SKH_HEADER_DEADLINE,	      /* milliseconds left until the deadline */
	SKH_HEADER_LAST_EVENT,	      /* event after which a stream resumes */
	SKH_HEADER_SIGNATURE,	      /* signature of the backend server that made the response */
	SKH_HEADER_CUSTOMER,	      /* customer that owns the caller's key */
	SKH_HEADER_EXPECTED_INSTANCE, /* instance that the request is meant for */
	SKH_HEADER_LOAD,	      /* running and queued requests, and slots */
	SKH_HEADER_NOT_RUN,	      /* the server did not run the request */
	SKH_HEADER_LEAVING,	      /* "1": the server is leaving */
	SKH_HEADER_LIMIT,	      /* requests a second that the server takes in all */
	SKH_HEADER_COLD,	      /* milliseconds for which the server stays cold */
	SKH_HEADER_FAULTY_SERVER,     /* faulty server of a group */
	SKH_HEADER_PRIORITY,	      /* priority of a request at an engine */
	SKH_HEADER_TOKENS,	      /* prompt tokens and maximum output tokens */
	SKH_HEADER_PROMPT_PARTS,      /* parts of the prompt, see prompt_parts.h */
	SKH_HEADER_LENGTH_HINT,	      /* the caller's estimate of the output tokens */
	SKH_HEADER_COUNT
} skh_header_name_t;

/*
 * Longest name of a group, with its terminating zero. Names are part of store keys, so a longer one
 * is unusable anyway; see max_key_bytes.
 */
#define SKH_GROUP_NAME_SIZE 201
/* A greater slowdown is an error of its sender: no group makes progress with such a rank. */
#define SKH_ENGINE_MAX_SLOWDOWN 1000.0

/** struct skh_engine_report - state of an engine, as it reports it */
typedef struct skh_engine_report {
	bool is_in_group;
	bool has_unusable_group; /* the name is empty, too long or has a zero byte; @is_in_group is false */
	bool is_group_open;
	char group[SKH_GROUP_NAME_SIZE];
	uint32_t group_size;
	uint32_t rank;
	int64_t epoch;
	int64_t orders_accepted;
	int64_t pass; /* last pass that has begun */
	int64_t map_version;
	int64_t prepared_version; /* map version whose copies are complete; 0 for none */
	int64_t armed_version;	  /* map version to switch to; 0 for none */
	int64_t held_pass;	  /* pass that is held until its release; 0 for none */
	double slowdown;	  /* time that the rank takes; 1 is normal */
} skh_engine_report_t;

/** enum skh_engine_op - orders of a map change (mapchange.h) */
typedef enum skh_engine_op {
	SKH_ENGINE_PREPARE, /* copy the experts' weights that the map needs */
	SKH_ENGINE_ARM,	    /* switch to @map_version at the beginning of @pass */
	SKH_ENGINE_DISARM,  /* cancel the armed switch */
	SKH_ENGINE_HOLD,    /* do not begin @pass before its release */
	SKH_ENGINE_RELEASE  /* release the held pass */
} skh_engine_op_t;

/** struct skh_mapchange_order - one order; fields that @op does not use are ignored */
typedef struct skh_mapchange_order {
	skh_engine_op_t op;
	int64_t map_version;
	int64_t pass;
	int64_t epoch;
	int64_t fence;	     /* fencing token */
	const uint32_t *map; /* expert + 1 by [set][rank][slot]; 0 for an empty slot */
	uint32_t n_sets;
	uint32_t n_ranks;
	uint32_t n_slots;
} skh_mapchange_order_t;

/** struct skh_engine_counts - tokens routed to each expert since the engine's start */
typedef struct skh_engine_counts {
	int64_t epoch;
	int64_t pass;
	uint32_t n;	/* length of @counts */
	double *counts; /* by set and expert; free with g_free() */
} skh_engine_counts_t;

/**
 * struct skh_dialect - formats and names of one kind of deployment
 *
 * The read functions parse @text and return false or NULL with @err when it is invalid.
 */
typedef struct skh_dialect {
	const char *name;
	const char *headers[SKH_HEADER_COUNT];
	const char *auth_scheme;      /* authorization scheme of callers' API keys */
	size_t max_key_bytes;	      /* the store's limit for a key; 0 for none */
	const char *config_key;	      /* store key of the gateways' routing configuration */
	const char *servers_prefix;   /* store prefix of the list of backend servers */
	const char *operators_prefix; /* store prefix of @config_key and @domains_out_prefix */
	/* Store prefix of the keys of failure domains that operators have taken out of service. */
	const char *domains_out_prefix;
	const char *order_path;
	const char *report_path;
	const char *counts_path;
	const char *map_path;
	skh_store_t *(*open_store)(const char *endpoint, int64_t timeout_ms);
	/* Parses the gateways' routing configuration; free with skh_routing_free(). */
	skh_routing_t *(*read_config)(skh_chunk_t text, skh_error_t *err);
	/* Parses the list entry of server @id; free with skh_server_free(). */
	skh_server_t *(*read_server)(const char *id, skh_chunk_t text, skh_error_t *err);
	bool (*read_report)(skh_chunk_t text, skh_engine_report_t *report, skh_error_t *err);
	bool (*read_counts)(skh_chunk_t text, skh_engine_counts_t *counts, skh_error_t *err);
	/*
	 * Parses the rank's part of the map in use: expert + 1 by [set][slot], 0 if empty. A map
	 * with an expert that @spec does not have, or twice in a set, is invalid.
	 */
	bool (*read_map)(skh_chunk_t text, const skh_engine_spec_t *spec, uint32_t *map,
			 int64_t *version, skh_error_t *err);
	/* Returns the order as JSON; free with free(). */
	char *(*write_order)(const skh_mapchange_order_t *order);
} skh_dialect_t;

/** skh_dialect_find() - returns the dialect called @name, or NULL with @err */
const skh_dialect_t *skh_dialect_find(const char *name, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
