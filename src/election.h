#ifndef SKH_ELECTION_H
#define SKH_ELECTION_H

/**
 * DOC: Election of a group's coordinator
 *
 * A thread that takes, renews and watches a lease in the store. The store's
 * revision at which the lease was taken is the fence of everything that its
 * holder orders, so a later holder's is higher. A paused holder may act after
 * its lease has lapsed; the fence makes that harmless.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_election_options - texts are borrowed for the election's life */
typedef struct skh_election_options {
	skh_store_t *store;	    /* of the election's own */
	skh_store_t *release_store; /* another, as a watch may occupy the first */
	const skh_dialect_t *dialect;
	const char *prefix;	/* of the group's keys; ends with a slash */
	const char *notice_key; /* of what gateways are told of the group */
	const char *address;	/* where the holder hears the others */
	const char *service;	/* whose engines are coordinated */
} skh_election_options_t;

/** struct skh_election_view - what is known of the lease */
typedef struct skh_election_view {
	bool is_holder;
	int64_t fence;		      /* of this process's lease */
	int64_t lease_deadline_us;    /* boot clock; it acts only before */
	char coordinator_address[64]; /* address, "" when not known */
	bool has_engine_spec;
	skh_engine_spec_t engine_spec; /* by the configuration */
} skh_election_view_t;

typedef struct skh_election skh_election_t;

skh_election_t *skh_election_start(const skh_election_options_t *options);

/**
 * skh_election_stop() - gives the lease up, so that another takes over at once
 *
 * Does not wait for the thread, which may be in a long poll: only for the end of
 * the process.
 */
void skh_election_stop(skh_election_t *election);
void skh_election_get_view(skh_election_t *election, skh_election_view_t *view);

/**
 * skh_election_get_servers() - addresses of the service's servers, read while asked for
 * @wanted: whether they are needed now
 * Return: "host:port" each; free with g_ptr_array_unref().
 */
GPtrArray *skh_election_get_servers(skh_election_t *election, bool wanted);

/**
 * skh_election_set_notice() - what the holder tells gateways of its group, in the store
 *
 * Kept under the holder's lease: it is gone when the holder is. "" takes it back.
 */
void skh_election_set_notice(skh_election_t *election, const char *text);

/** skh_election_resign() - a later holder exists: forget the lease */
void skh_election_resign(skh_election_t *election);

#ifdef __cplusplus
}
#endif
#endif
