#ifndef SKYLARKHEAD_H
#define SKYLARKHEAD_H

/**
 * DOC: skylarkhead
 *
 * Load balancer for groups of model servers that split their experts across
 * ranks. This header declares the commands of the program; the main modules of
 * the library are:
 *
 * Foundations: error.h, buffer.h, clock.h, log.h, metrics.h.
 * Documents: doc_node.h, schema.h, settings.h, manifest.h, config_parts.h.
 * Decisions (no I/O): request_fsm.h, gate.h, peers.h, peer_selection.h, admission.h, claim.h,
 * rank.h, mapswitch.h.
 * State shared between threads: board.h.
 * I/O: store.h, mirror.h, config_watcher.h, link.h, sidecar_link.h, fetch.h,
 * backend.h, engine.h, claim_writer.h, leader.h, group_member.h, curve_auth.h, http.h.
 * Roles: entry.h (with caller_api.h, serve.h), sidecar.h (with attempt_runner.h, frame_sender.h),
 * gateway.h (with downstream.h, exchange.h, attempt.h, feed.h), balancer.h (with coordinator.h,
 * rank_poller.h).
 */

#ifdef __cplusplus
extern "C" {
#endif

#define SKYLARKHEAD_VERSION "0.1.0"

/** enum skh_exit_status - exit status of every command */
typedef enum skh_exit_status {
	SKH_EXIT_OK = 0,
	SKH_EXIT_FAILURE = 1,  /* a document was rejected, or the command failed */
	SKH_EXIT_USAGE = 2,    /* invalid command line */
	SKH_EXIT_CONFLICT = 3, /* another operator changed the configuration first */
	SKH_EXIT_UNKNOWN = 4   /* unknown whether the change took effect */
} skh_exit_status_t;

/* Each command takes its own argument vector and returns a skh_exit_status_t. */

/** skh_cmd_entry() - run an entry */
int skh_cmd_entry(int argc, char **argv);
/** skh_cmd_sidecar() - run the sidecar of a backend server */
int skh_cmd_sidecar(int argc, char **argv);
/** skh_cmd_gateway() - run a gateway, which sends requests to backend servers without sidecars */
int skh_cmd_gateway(int argc, char **argv);
/** skh_cmd_balancer() - run the expert balancer of a rank */
int skh_cmd_balancer(int argc, char **argv);
/** skh_cmd_check() - validate settings or a manifest and print every error */
int skh_cmd_check(int argc, char **argv);
/** skh_cmd_apply() - apply a manifest and wait until it is in force at all instances */
int skh_cmd_apply(int argc, char **argv);
/** skh_cmd_status() - print the status that instances report */
int skh_cmd_status(int argc, char **argv);
/** skh_cmd_keygen() - generate and print a key pair for the links between processes */
int skh_cmd_keygen(int argc, char **argv);
/** skh_cmd_version() - print the version */
int skh_cmd_version(int argc, char **argv);

#ifdef __cplusplus
}
#endif
#endif
