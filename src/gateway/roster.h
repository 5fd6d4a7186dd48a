#ifndef SKH_ROSTER_H
#define SKH_ROSTER_H

/**
 * DOC: Roster
 *
 * The backend servers that are listed in the platform's store. The builder holds
 * the servers read so far and applies changes; the roster is an immutable
 * snapshot for readers. Pure state without I/O: callers pass the current time in
 * microseconds and serialise calls.
 *
 * A server whose entry is deleted is removed at once. Entries also expire while
 * the store is unavailable and servers can't renew them; a server whose entry
 * may have expired that way is kept until the servers that are alive have had the
 * time to register again. That time is counted from the store's return, whenever
 * the entry was removed: a server that is still not listed then has left.
 *
 * After the store has come back from an older copy, entries of servers that had left
 * or were leaving may be listed in an earlier state. Their sequence tells them apart.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_server - one backend server, as listed in the store */
typedef struct skh_server {
	char *id; /* changes with almost every start of the server */
	char *service;
	char *host; /* IP address */
	uint16_t port;
	char *failure_domain;
	uint32_t slots;		  /* maximum number of concurrent requests */
	bool is_leaving;	  /* gets no new requests */
	int64_t started_unix_ms;  /* Unix time of the server's start; 0 when unknown */
	int64_t sequence;	  /* rises with each entry that the server writes */
	int64_t cold_left_us;	  /* how long it stays cold, as of the writing; 0 if it is warm */
	int64_t era;		  /* of the store, when the entry was read */
	int64_t revision;	  /* of the entry */
	int64_t grace_expires_us; /* removal time of an unlisted server; 0 while listed */
} skh_server_t;

/** struct skh_roster - snapshot of the backend servers, sorted by id */
typedef struct skh_roster {
	GPtrArray *servers; /* skh_server_t, owned */
	int64_t revision;   /* store revision of the snapshot */
} skh_roster_t;

/* Servers that are alive register again within about two seconds of the store's return. */
#define SKH_ROSTER_GRACE_US ((int64_t)2200000)

typedef struct skh_roster_builder skh_roster_builder_t;

/** skh_roster_builder_new() - returns an empty builder */
skh_roster_builder_t *skh_roster_builder_new(void);
void skh_roster_builder_free(skh_roster_builder_t *builder);

/**
 * skh_roster_builder_begin_era() - the store has come back from an older copy
 *
 * From now on entries that are older than what was read before are ignored.
 */
void skh_roster_builder_begin_era(skh_roster_builder_t *builder);

/**
 * skh_roster_builder_end_copy() - all entries were read once since the store came back
 * @revision: of the store when that read began
 *
 * Entries with a later revision were written since, so they are not compared with what was read
 * before. No effect after the first read of an era, or if the store never came back from a copy.
 */
void skh_roster_builder_end_copy(skh_roster_builder_t *builder, int64_t revision);

/**
 * skh_roster_builder_put() - adds @server or replaces the one with its id
 * @server: ownership passes to the function
 * Return: true when the roster changed and readers need a new snapshot.
 */
bool skh_roster_builder_put(skh_roster_builder_t *builder, skh_server_t *server);

/**
 * skh_roster_builder_remove() - removes a server that is no longer listed or has an invalid entry
 * @grace_ends_us: until then the entry counts as one that may have expired while the store was
 *                 unavailable, and the server is kept unless it was leaving; if this time has
 *                 passed, or is 0, the server has left
 * Return: true when the roster changed and readers need a new snapshot.
 */
bool skh_roster_builder_remove(skh_roster_builder_t *builder, const char *id, int64_t grace_ends_us,
			       int64_t now_us);

/**
 * skh_roster_builder_retain() - removes all servers that are not in @ids
 * @ids: set of the listed ids
 * @grace_ends_us: as in skh_roster_builder_remove()
 * Return: true when the roster changed and readers need a new snapshot.
 */
bool skh_roster_builder_retain(skh_roster_builder_t *builder, GHashTable *ids,
			       int64_t grace_ends_us, int64_t now_us);

/**
 * skh_roster_builder_extend_grace() - the store has been unavailable once more
 *
 * Servers that are not listed could not register again meanwhile and are kept until @grace_ends_us.
 */
void skh_roster_builder_extend_grace(skh_roster_builder_t *builder, int64_t grace_ends_us);

/** skh_roster_builder_next_expiry_us() - earliest end of a grace period; INT64_MAX for none */
int64_t skh_roster_builder_next_expiry_us(const skh_roster_builder_t *builder);

/**
 * skh_roster_builder_expire() - removes servers whose grace period has passed
 * Return: true when the roster changed and readers need a new snapshot.
 */
bool skh_roster_builder_expire(skh_roster_builder_t *builder, int64_t now_us);

/** skh_roster_builder_snapshot() - returns a copy for readers; free with skh_roster_free() */
skh_roster_t *skh_roster_builder_snapshot(const skh_roster_builder_t *builder, int64_t revision);

/** skh_server_instance_hash() - identifies one start of a server; the same on all hosts */
uint64_t skh_server_instance_hash(const skh_server_t *server);
skh_server_t *skh_server_copy(const skh_server_t *server);
void skh_server_free(skh_server_t *server);
/** skh_roster_clear() - frees what @roster owns, not @roster itself */
void skh_roster_clear(skh_roster_t *roster);
void skh_roster_free(skh_roster_t *roster);
/** skh_roster_find() - returns the server called @id, or NULL */
const skh_server_t *skh_roster_find(const skh_roster_t *roster, const char *id);

#ifdef __cplusplus
}
#endif
#endif
