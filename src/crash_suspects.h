#ifndef SKH_CRASH_SUSPECTS_H
#define SKH_CRASH_SUSPECTS_H

/**
 * DOC: Requests that crash their servers
 *
 * Pure. A lost connection alone accuses nobody: connections are reset for many
 * reasons. Only when the server turns out to have crashed is that crash held
 * against the requests that were lost there. A request that is innocent is
 * answered the next time and cleared; one that crashes server after server is
 * not repeated any more, and then not sent any more. Requests are known by their
 * content, so that one sent again under a new id is recognised.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Crashes after which a gateway no longer repeats a request by itself. */
#define SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES 2
/* Crashes after which it is not sent to any server. */
#define SKH_CRASH_SUSPECTS_REJECT_CRASHES 3
/* How long a crash is held against a request: callers send it again for minutes. */
#define SKH_CRASH_SUSPECTS_EXPIRY_US ((int64_t)600 * 1000000)
/* A crash is seen within this time of the loss. */
#define SKH_CRASH_SUSPECTS_LOSS_WINDOW_US ((int64_t)5 * 1000000)

typedef struct skh_crash_suspects skh_crash_suspects_t;

skh_crash_suspects_t *skh_crash_suspects_new(void);
void skh_crash_suspects_free(skh_crash_suspects_t *culprits);

/** skh_crash_suspects_record_loss() - @content was lost at @server */
void skh_crash_suspects_record_loss(skh_crash_suspects_t *culprits, uint64_t content,
				    const char *server, int64_t now_us);

/** typedef skh_crash_suspects_fn - a crash is held against @content, newly */
typedef void (*skh_crash_suspects_fn)(void *context, uint64_t content, uint64_t crash);

/** skh_crash_suspects_record_crash() - @server has crashed; @fn, which may be NULL, makes it known */
void skh_crash_suspects_record_crash(skh_crash_suspects_t *culprits, const char *server,
				     int64_t now_us, skh_crash_suspects_fn fn, void *context);

/** skh_crash_suspects_add_remote_crash() - another gateway holds @crash against @content */
void skh_crash_suspects_add_remote_crash(skh_crash_suspects_t *culprits, uint64_t content,
					 uint64_t crash, int64_t now_us);

/** skh_crash_suspects_clear() - @content was answered */
void skh_crash_suspects_clear(skh_crash_suspects_t *culprits, uint64_t content);

bool skh_crash_suspects_is_retry_blocked(const skh_crash_suspects_t *culprits, uint64_t content,
					 int64_t now_us);
bool skh_crash_suspects_is_rejected(const skh_crash_suspects_t *culprits, uint64_t content,
				    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
