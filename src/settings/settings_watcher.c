#include "settings_watcher.h"

#include "clock.h"
#include "log.h"
#include "process.h"

#include <inttypes.h>
#include <sys/stat.h>

#define PART		  "reload"
#define CHECK_INTERVAL_US (1 * SKH_US_PER_S)

struct skh_settings_watcher {
	const skh_settings_t *settings;
	int32_t handled_requests;
	struct timespec modified_at;
	int64_t size;
	int64_t next_check_us;
};

static bool detect_file_change(skh_settings_watcher_t *watcher)
{
	struct stat file_info;
	bool changed;

	if (!watcher->settings->path || stat(watcher->settings->path, &file_info) != 0)
		return false;
	changed = file_info.st_mtim.tv_sec != watcher->modified_at.tv_sec ||
		  file_info.st_mtim.tv_nsec != watcher->modified_at.tv_nsec ||
		  file_info.st_size != watcher->size;
	watcher->modified_at = file_info.st_mtim;
	watcher->size = file_info.st_size;
	return changed;
}

skh_settings_watcher_t *skh_settings_watcher_new(const skh_settings_t *settings)
{
	skh_settings_watcher_t *watcher = g_new0(skh_settings_watcher_t, 1);

	watcher->settings = settings;
	/* Stores the present state of the file, for comparison at the next poll. */
	(void)detect_file_change(watcher);
	return watcher;
}

static const skh_settings_t *reload_settings(skh_settings_watcher_t *watcher)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_settings_t *new_settings =
		skh_settings_load(watcher->settings->path, watcher->settings->role, errors);
	size_t n = skh_validation_errors_count(errors);

	if (n > 0) {
		const skh_validation_error_t *first_error = skh_validation_errors_at(errors, 0);

		skh_log(SKH_LOG_ERROR, PART,
			"Settings file rejected; the previous settings stay in force.",
			"faults=%zu line=%u key=%s reason=%s", n, first_error->line,
			first_error->key, first_error->reason);
		skh_settings_free(new_settings);
		new_settings = NULL;
	} else {
		skh_log(SKH_LOG_INFO, PART, "Settings reloaded.", "bytes=%" PRId64, watcher->size);
		skh_settings_log_warnings(new_settings);
		watcher->settings = new_settings;
	}
	skh_validation_errors_free(errors);
	return new_settings;
}

const skh_settings_t *skh_settings_watcher_poll(skh_settings_watcher_t *watcher, int64_t now_us)
{
	int32_t requests = skh_process_reload_requests();
	bool reload_requested = requests != watcher->handled_requests;
	bool changed;

	if (!reload_requested && now_us < watcher->next_check_us)
		return NULL;
	watcher->next_check_us = now_us + CHECK_INTERVAL_US;
	watcher->handled_requests = requests;
	changed = detect_file_change(watcher);
	if ((!reload_requested && !changed) || !watcher->settings->path)
		return NULL;
	return reload_settings(watcher);
}
