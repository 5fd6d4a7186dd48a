#include "process.h"

#include "log.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdatomic.h>

static atomic_int stop_requests;
static atomic_int reload_requests;

static void on_signal(int signal_number)
{
	atomic_fetch_add(signal_number == SIGHUP ? &reload_requests : &stop_requests, 1);
}

void skh_process_setup(const skh_settings_t *settings)
{
	struct sigaction action = { .sa_handler = on_signal };

	skh_log_setup((skh_log_level_t)settings->log_level, settings->log_format == 1);
	if (settings->log_output == 1)
		skh_log_to_stdout();
	skh_settings_log_warnings(settings);
	(void)sigaction(SIGTERM, &action, NULL);
	(void)sigaction(SIGINT, &action, NULL);
	(void)sigaction(SIGHUP, &action, NULL);
	(void)signal(SIGPIPE, SIG_IGN);
	(void)curl_global_init(CURL_GLOBAL_DEFAULT);
}

int32_t skh_process_reload_requests(void)
{
	return atomic_load(&reload_requests);
}

int32_t skh_process_stop_requests(void)
{
	return atomic_load(&stop_requests);
}
