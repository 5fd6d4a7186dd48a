#ifndef SKH_MEMBERS_PUBLISHER_H
#define SKH_MEMBERS_PUBLISHER_H

/**
 * DOC: Publication of a group's members
 *
 * Keeps the members notice (members_notice.h) of a coordinator in the store. The notice has a lease
 * of its own that lasts much longer than the coordinator's, so that gateways that start after the
 * coordinator's death still find it. Writes compare the revision of the coordinator's key, so that
 * a process that has lost the lease cannot replace a later notice. Each step makes at most one
 * store call, so that it delays the renewal of the coordinator's lease by no more than that. The
 * owner of the struct serialises calls.
 */

#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_members_publisher - zeroed before its first use; free with its clear function */
typedef struct skh_members_publisher {
	char *published; /* text in the store, NULL if unknown */
	int64_t era;	 /* of the store when @lease was granted */
	int64_t lease;	 /* of the notice; 0 for none */
	int64_t next_renew_us;
	int64_t next_write_us;
} skh_members_publisher_t;

/** struct skh_members_target - where and under which condition the notice is written */
typedef struct skh_members_target {
	const char *key;	 /* of the notice */
	const char *holder_key;	 /* the coordinator's key */
	int64_t holder_revision; /* revision at which this process acquired it */
} skh_members_target_t;

/** skh_members_publisher_reset() - write again, as another coordinator may have written since */
void skh_members_publisher_reset(skh_members_publisher_t *publisher);
void skh_members_publisher_clear(skh_members_publisher_t *publisher);

/**
 * skh_members_publisher_step() - make the next store call if one is due
 * @text: notice to publish; "" for none, which leaves the notice in the store as it is
 * @now_us: boot clock
 * @has_called: set to whether a call was made
 * Return: false with @err set if the call failed; a later step repeats it.
 */
bool skh_members_publisher_step(skh_members_publisher_t *publisher, skh_store_t *store,
				const skh_members_target_t *target, const char *text,
				int64_t now_us, bool *has_called, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
