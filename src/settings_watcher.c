#include "settings_watcher.h"

#include "clock.h"
#include "log.h"
#include "process.h"

#include <inttypes.h>
#include <sys/stat.h>

#define PART	"reload"
#define LOOK_US (1 * SKH_US_PER_S)

struct skh_settings_watcher {
	const skh_settings_t *settings;
	int32_t seen_requests;
	struct timespec changed_at;
	int64_t size;
	int64_t look_us;
};

static bool look_at_file(skh_settings_watcher_t *reload)
{
	struct stat info;
	bool changed;

	if (!reload->settings->path || stat(reload->settings->path, &info) != 0)
		return false;
	changed = info.st_mtim.tv_sec != reload->changed_at.tv_sec ||
		  info.st_mtim.tv_nsec != reload->changed_at.tv_nsec ||
		  info.st_size != reload->size;
	reload->changed_at = info.st_mtim;
	reload->size = info.st_size;
	return changed;
}

skh_settings_watcher_t *skh_settings_watcher_new(const skh_settings_t *settings)
{
	skh_settings_watcher_t *reload = g_new0(skh_settings_watcher_t, 1);

	reload->settings = settings;
	(void)look_at_file(reload);
	return reload;
}

static const skh_settings_t *read_again(skh_settings_watcher_t *reload)
{
	skh_validation_errors_t *faults = skh_validation_errors_new();
	skh_settings_t *fresh =
		skh_settings_load(reload->settings->path, reload->settings->role, faults);
	size_t n = skh_validation_errors_count(faults);

	if (n > 0) {
		const skh_validation_error_t *fault = skh_validation_errors_at(faults, 0);

		skh_log(SKH_LOG_ERROR, PART, "Settings not taken.",
			"faults=%zu line=%u key=%s reason=%s", n, fault->line, fault->key,
			fault->reason);
		skh_settings_free(fresh);
		fresh = NULL;
	} else {
		skh_log(SKH_LOG_INFO, PART, "Settings reloaded.", "bytes=%" PRId64, reload->size);
		reload->settings = fresh;
	}
	skh_validation_errors_free(faults);
	return fresh;
}

const skh_settings_t *skh_settings_watcher_poll(skh_settings_watcher_t *reload, int64_t now_us)
{
	int32_t requests = skh_process_reload_requests();
	bool asked = requests != reload->seen_requests;
	bool changed;

	if (!asked && now_us < reload->look_us)
		return NULL;
	reload->look_us = now_us + LOOK_US;
	reload->seen_requests = requests;
	changed = look_at_file(reload);
	if ((!asked && !changed) || !reload->settings->path)
		return NULL;
	return read_again(reload);
}
