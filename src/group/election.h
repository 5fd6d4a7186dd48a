#ifndef SKH_ELECTION_H
#define SKH_ELECTION_H

/**
 * DOC: Election of a group's coordinator
 *
 * A thread that acquires, renews and watches the group's lease in the store. The store revision
 * at which the lease was acquired is the fencing token of all orders of its holder, so a later
 * holder always has a higher one. A holder that was paused may send orders after its lease has
 * expired; ranks that have received a higher token reject them. All functions may be called from
 * any thread. Failed store requests are logged, counted and retried.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_election_options - copied, but what it points to must outlive the election */
typedef struct skh_election_options {
	skh_store_t *store;	    /* owned by the election and used by its thread only */
	skh_store_t *release_store; /* used on stop because a watch may occupy @store */
	const char *store_endpoint; /* for renewals that overlap (lease_renewer.h) */
	int64_t store_timeout_ms;
	const skh_dialect_t *dialect;
	const char *address; /* "address:port" where this process receives reports; copied */
	const char *service; /* service of the group; copied */
	const char *group;   /* name of the group; copied */
} skh_election_options_t;

/** struct skh_election_view - known state of the lease */
typedef struct skh_election_view {
	bool is_holder;
	int64_t fence;		      /* fencing token of this process's lease */
	int64_t lease_revision;	      /* store revision at which the lease was acquired */
	int64_t lease_deadline_us;    /* boot clock; the holder must not act later */
	char coordinator_address[64]; /* "address:port" of the lease holder, "" if unknown */
	bool has_engine_spec;
	skh_engine_spec_t engine_spec; /* from the configuration in the store */
} skh_election_view_t;

typedef struct skh_election skh_election_t;

/** skh_election_max_key_bytes() - length of the longest store key that an election of the group uses */
size_t skh_election_max_key_bytes(const char *service, const char *group);

/**
 * skh_election_start() - start the thread
 *
 * End it with skh_election_stop() or skh_election_abandon().
 */
skh_election_t *skh_election_start(const skh_election_options_t *options);

/**
 * skh_election_stop() - release the lease so that another process takes over at once
 *
 * Blocks for one store request if the lease is held. Does not wait for the thread, which may be
 * in a long poll, and frees nothing: only for use at the end of the process.
 */
void skh_election_stop(skh_election_t *election);

/**
 * skh_election_abandon() - leave the election because this process belongs to another group now
 *
 * Returns at once. The thread, which may be in a long poll, releases the lease if it holds it,
 * closes the store and frees the election. @election must not be used afterwards.
 */
void skh_election_abandon(skh_election_t *election);

/** skh_election_get_view() - copy the known state to @view */
void skh_election_get_view(skh_election_t *election, skh_election_view_t *view);

/**
 * skh_election_get_servers() - addresses of the service's backend servers as last read
 * @keep_updated: keep reading the list from the store while this process holds the lease
 * Return: strings "address:port"; release with g_ptr_array_unref().
 */
GPtrArray *skh_election_get_servers(skh_election_t *election, bool keep_updated);

/**
 * skh_election_set_slow_ranks() - set the notice about the group that gateways read from the store
 * @text: copied; "" deletes the notice
 *
 * The notice is written after the next renewal, under the lease, and expires with it.
 */
void skh_election_set_slow_ranks(skh_election_t *election, const char *text);

/**
 * skh_election_set_members() - set the members notice (members_notice.h) of the group
 * @text: copied; "" leaves the notice in the store as it is
 *
 * Written while this process holds the lease, after a renewal that was quick, under a lease of its
 * own.
 */
void skh_election_set_members(skh_election_t *election, const char *text);

/**
 * skh_election_take_members() - members notice that was found when the lease was acquired
 * Return: the text, to be freed with g_free(); NULL if there is none or if it was taken before.
 */
char *skh_election_take_members(skh_election_t *election);

/** skh_election_resign() - stop acting as the holder because a later holder exists */
void skh_election_resign(skh_election_t *election);

#ifdef __cplusplus
}
#endif
#endif
