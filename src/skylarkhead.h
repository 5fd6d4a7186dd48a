#ifndef SKYLARKHEAD_H
#define SKYLARKHEAD_H

/**
 * DOC: skylarkhead
 *
 * Load balancer for groups of model servers that split their experts across
 * ranks. This header is the library's front door; it is laid out like its
 * manual.
 *
 * Foundations: error.h, buffer.h, clock.h, log.h, metrics.h.
 * Documents: doc_node.h, schema.h, settings.h, manifest.h, config_parts.h.
 * Decisions (pure): request_fsm.h, gate.h, peers.h, peer_selection.h, admission.h, claim.h,
 * rank.h, mapswitch.h.
 * Shell: board.h, store.h, mirror.h, config_watcher.h, link.h, sidecar_link.h, fetch.h,
 * backend.h, engine.h, claim_writer.h, leader.h, group_member.h, curve_auth.h, http.h.
 * Roles: entry.h (with caller_api.h, serve.h), sidecar.h (with attempt_runner.h, frame_sender.h).
 */

#ifdef __cplusplus
extern "C" {
#endif

#define SKYLARKHEAD_VERSION "0.1.0"

/* Commands. Each takes its own argument vector and returns the exit status. */

/** enum skh_exit_status - exit status of every command */
typedef enum skh_exit_status {
	SKH_EXIT_OK = 0,
	SKH_EXIT_FAILURE = 1,  /* a document is refused, or the work failed */
	SKH_EXIT_USAGE = 2,    /* the command line is wrong */
	SKH_EXIT_CONFLICT = 3, /* another operator's change came first */
	SKH_EXIT_UNKNOWN = 4   /* the outcome can't be known */
} skh_exit_status_t;

/** skh_cmd_entry() - run an entry instance */
int skh_cmd_entry(int argc, char **argv);
/** skh_cmd_sidecar() - run the process beside a backend server */
int skh_cmd_sidecar(int argc, char **argv);
/** skh_cmd_gateway() - run an entry that reaches backend servers directly */
int skh_cmd_gateway(int argc, char **argv);
/** skh_cmd_balancer() - run the balancer of experts beside a model server */
int skh_cmd_balancer(int argc, char **argv);
/** skh_cmd_check() - print every fault of settings or of a manifest */
int skh_cmd_check(int argc, char **argv);
/** skh_cmd_apply() - put a manifest in force and wait until it is */
int skh_cmd_apply(int argc, char **argv);
/** skh_cmd_status() - print what instances say of themselves */
int skh_cmd_status(int argc, char **argv);
/** skh_cmd_keygen() - print a new key pair for the links between processes */
int skh_cmd_keygen(int argc, char **argv);
/** skh_cmd_version() - print the version */
int skh_cmd_version(int argc, char **argv);

#ifdef __cplusplus
}
#endif
#endif
