#ifndef SKH_CULPRITS_H
#define SKH_CULPRITS_H

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
#define SKH_CULPRITS_HELD 2
/* Crashes after which it is not sent to any server. */
#define SKH_CULPRITS_BARRED 3
/* How long a crash is held against a request: callers send it again for minutes. */
#define SKH_CULPRITS_HOLD_US ((int64_t)600 * 1000000)
/* A crash is seen within this time of the loss. */
#define SKH_CULPRITS_PROOF_US ((int64_t)5 * 1000000)

typedef struct skh_culprits skh_culprits_t;

skh_culprits_t *skh_culprits_new(void);
void skh_culprits_free(skh_culprits_t *culprits);

/** skh_culprits_note() - @content was lost at @server */
void skh_culprits_note(skh_culprits_t *culprits, uint64_t content, const char *server,
		       int64_t now_us);

/** typedef skh_culprits_fn - a crash is held against @content, newly */
typedef void (*skh_culprits_fn)(void *context, uint64_t content, uint64_t crash);

/** skh_culprits_crashed() - @server has crashed; @fn, which may be NULL, makes it known */
void skh_culprits_crashed(skh_culprits_t *culprits, const char *server, int64_t now_us,
			  skh_culprits_fn fn, void *context);

/** skh_culprits_hold() - another gateway holds @crash against @content */
void skh_culprits_hold(skh_culprits_t *culprits, uint64_t content, uint64_t crash, int64_t now_us);

/** skh_culprits_clear() - @content was answered */
void skh_culprits_clear(skh_culprits_t *culprits, uint64_t content);

bool skh_culprits_is_held(const skh_culprits_t *culprits, uint64_t content, int64_t now_us);
bool skh_culprits_is_barred(const skh_culprits_t *culprits, uint64_t content, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
