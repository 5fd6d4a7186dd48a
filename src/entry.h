#ifndef SKH_ENTRY_H
#define SKH_ENTRY_H

/**
 * DOC: Entry
 *
 * The process that callers reach through the platform's balancer. It holds
 * nothing that must outlast it.
 */

#include "admission.h"
#include "board.h"
#include "config_watcher.h"
#include "link.h"
#include "quarantine.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_entry - what an entry's handlers share */
typedef struct skh_entry {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_store_t *store;
	skh_config_watcher_t *follower;
	skh_link_t *link;
	skh_quarantine_t *quarantine;
	GMutex admission_lock;
	skh_admission_t *admission;
	gint in_flight; /* callers' requests being handled */
} skh_entry_t;

/** skh_entry_main() - run an entry until SIGTERM or SIGINT; the exit status */
int skh_entry_main(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
