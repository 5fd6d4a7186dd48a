#ifndef SKH_ENTRY_H
#define SKH_ENTRY_H

/**
 * DOC: Entry
 *
 * The process that callers reach through the platform's balancer. It dispatches
 * callers' requests to sidecars and keeps no state that must survive a restart.
 * skh_entry_main() runs on the main thread; the HTTP server's threads handle
 * requests and share &skh_entry_t.
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

/**
 * struct skh_entry - state shared by the request handlers of one entry
 * @settings: borrowed
 * @config_watcher: adopts new configuration revisions from @store
 * @admission_lock: guards @admission
 * @in_flight: callers' requests in progress; accessed atomically
 */
typedef struct skh_entry {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_store_t *store;
	skh_config_watcher_t *config_watcher;
	skh_link_t *link;
	skh_quarantine_t *quarantine;
	GMutex admission_lock;
	skh_admission_t *admission;
	gint in_flight;
} skh_entry_t;

/**
 * skh_entry_main() - run an entry until SIGTERM or SIGINT, then drain it
 * Return: the process exit status; 1 when the entry could not start.
 */
int skh_entry_main(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
