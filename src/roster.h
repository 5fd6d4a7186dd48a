#ifndef SKH_ROSTER_H
#define SKH_ROSTER_H

/**
 * DOC: Roster
 *
 * The backend servers as the platform lists them. Pure: the record keeps what
 * was read and when, and decides who may be given new work; the roster is an
 * immutable copy for readers.
 *
 * An entry that disappears has left. But entries also lapse while the store is
 * away and nobody can renew them; those have a while after its return to come
 * back before they count as gone.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_server - one backend server */
typedef struct skh_server {
	char *id; /* new with almost every start */
	char *service;
	char *host; /* IP address */
	uint16_t port;
	char *failure_domain;
	uint32_t slots;		  /* requests that it works on at a time */
	bool leaving;		  /* takes no new work */
	int64_t started_unix_ms;  /* Unix time of its start; 0 when not told */
	int64_t grace_expires_us; /* gone from the list in an outage, used until then; 0: listed */
} skh_server_t;

/** struct skh_roster - sorted by id */
typedef struct skh_roster {
	GPtrArray *servers; /* skh_server_t, owned */
	int64_t revision;   /* of the store */
} skh_roster_t;

/* Entries are back about two seconds after the store is. */
#define SKH_ROSTER_GRACE_US ((int64_t)2200000)

typedef struct skh_roster_builder skh_roster_builder_t;

skh_roster_builder_t *skh_roster_builder_new(void);
void skh_roster_builder_free(skh_roster_builder_t *record);

/** skh_roster_builder_put() - @server is listed now; owned from here on. True when readers must know. */
bool skh_roster_builder_put(skh_roster_builder_t *record, skh_server_t *server);

/**
 * skh_roster_builder_remove() - @id is no longer listed, or its entry can't be read
 * @lapsed: it may have lapsed because the store was away
 */
bool skh_roster_builder_remove(skh_roster_builder_t *record, const char *id, bool lapsed,
			       int64_t now_us);

/**
 * skh_roster_builder_retain() - only the servers in @ids are listed; the rest is removed
 * @ids: set of ids
 */
bool skh_roster_builder_retain(skh_roster_builder_t *record, GHashTable *ids, bool lapsed,
			       int64_t now_us);

/** skh_roster_builder_expire() - drop what lapsed and did not come back */
bool skh_roster_builder_expire(skh_roster_builder_t *record, int64_t now_us);

/** skh_roster_builder_snapshot() - a copy for readers */
skh_roster_t *skh_roster_builder_snapshot(const skh_roster_builder_t *record, int64_t revision);

skh_server_t *skh_server_copy(const skh_server_t *server);
void skh_server_free(skh_server_t *server);
void skh_roster_clear(skh_roster_t *roster);
void skh_roster_free(skh_roster_t *roster);
const skh_server_t *skh_roster_find(const skh_roster_t *roster, const char *id);

#ifdef __cplusplus
}
#endif
#endif
