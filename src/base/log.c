#define G_LOG_USE_STRUCTURED
#include "clock.h"
#include "log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define LAST_FIELD "reason"
/* Rate limit of standard output; lines above the limit are dropped and counted. */
#define MAX_LINES_PER_S 400

typedef struct level_row {
	GLogLevelFlags flag;
	const char *priority;
	const char *name;
} level_row_t;

static const level_row_t level_table[] = {
	[SKH_LOG_DEBUG] = { G_LOG_LEVEL_DEBUG, "7", "debug" },
	[SKH_LOG_INFO] = { G_LOG_LEVEL_INFO, "6", "info" },
	[SKH_LOG_WARNING] = { G_LOG_LEVEL_WARNING, "4", "warning" },
	[SKH_LOG_ERROR] = { G_LOG_LEVEL_CRITICAL, "3", "error" },
};

static skh_log_level_t min_log_level = SKH_LOG_INFO;
static bool use_json;
static bool to_stdout;

/* Rate limiter, updated without a lock: races between threads miscount a few lines. */
static int64_t window_start_s;
static uint32_t lines_in_window;
static uint64_t n_dropped; /* since the start; also lines that were not written completely */

static bool admit_line(void)
{
	int64_t now_s = skh_clock_boot_us() / SKH_US_PER_S;

	if (now_s != window_start_s) {
		window_start_s = now_s;
		lines_in_window = 0;
	}
	if (++lines_in_window <= MAX_LINES_PER_S)
		return true;
	n_dropped++;
	return false;
}

/*
 * Writes each line in one call, so that lines of several threads do not interleave.
 * Standard output is non-blocking: a line that does not fit is dropped, or truncated
 * when a part of it fits, so that logging never blocks the caller.
 */
static void output_line(const char *text, size_t len)
{
	if (!to_stdout) {
		(void)fwrite(text, 1, len, stderr);
		return;
	}
	if (write(STDOUT_FILENO, text, len) != (ssize_t)len)
		n_dropped++;
}

static const char *level_name(GLogLevelFlags flag)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_table); i++) {
		if (flag & level_table[i].flag)
			return level_table[i].name;
	}
	return "info";
}

static void add_json_fields(json_t *line, const char *fields)
{
	char *copy = g_strdup(fields);
	char *rest = copy;

	while (rest && *rest) {
		char *equals = strchr(rest, '=');
		char *space;

		if (!equals)
			break;
		*equals = '\0';
		space = strcmp(rest, LAST_FIELD) == 0 ? NULL : strchr(equals + 1, ' ');
		if (space)
			*space = '\0';
		json_object_set_new(line, rest, json_string(equals + 1));
		rest = space ? space + 1 : NULL;
	}
	g_free(copy);
}

static void output_json(const char *level, const char *part, const char *message,
			const char *fields)
{
	json_t *line = json_object();
	char *text;

	json_object_set_new(line, "unix_ms", json_integer(skh_clock_unix_ms()));
	json_object_set_new(line, "level", json_string(level));
	json_object_set_new(line, "part", json_string(part));
	json_object_set_new(line, "message", json_string(message));
	add_json_fields(line, fields);
	if (n_dropped > 0)
		json_object_set_new(line, "lines_dropped", json_integer((json_int_t)n_dropped));
	text = json_dumps(line, JSON_COMPACT);
	if (text) {
		g_autofree char *output = g_strconcat(text, "\n", NULL);

		output_line(output, strlen(output));
	}
	free(text);
	json_decref(line);
}

static GLogWriterOutput write_message(GLogLevelFlags flag, const GLogField *fields, gsize n,
				      gpointer user_data)
{
	const char *part = "glib";
	const char *message = "";
	const char *field_text = "";

	(void)user_data;
	for (gsize i = 0; i < n; i++) {
		if (strcmp(fields[i].key, "SKH_PART") == 0)
			part = fields[i].value;
		else if (strcmp(fields[i].key, "MESSAGE") == 0)
			message = fields[i].value;
		else if (strcmp(fields[i].key, "SKH_FIELDS") == 0)
			field_text = fields[i].value;
	}
	if (use_json)
		output_json(level_name(flag), part, message, field_text);
	else {
		g_autofree char *output =
			g_strdup_printf("%s: %s: %s%s%s\n", level_name(flag), part, message,
					*field_text ? " " : "", field_text);

		output_line(output, strlen(output));
	}
	return G_LOG_WRITER_HANDLED;
}

void skh_log_setup(skh_log_level_t min_level, bool json)
{
	min_log_level = min_level;
	use_json = json;
	g_log_set_writer_func(write_message, NULL, NULL);
}

void skh_log_to_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	to_stdout = true;
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Holds "group=" and a group's name as it stands in a store key. */
static _Thread_local char context[256];

void skh_log_set_context(const char *field)
{
	(void)g_strlcpy(context, field, sizeof(context));
}

static bool has_context_field(const char *fields)
{
	size_t name_len = strcspn(context, "=") + 1;

	while (strncmp(fields, context, name_len) != 0) {
		fields = strchr(fields, ' ');
		if (!fields)
			return false;
		fields++;
	}
	return true;
}

/* The context comes first because a value of the last field may contain spaces. */
static void add_context(char **fields)
{
	char *text;

	if (!*context || has_context_field(*fields))
		return;
	text = g_strconcat(context, **fields ? " " : "", *fields, NULL);
	g_free(*fields);
	*fields = text;
}

void skh_log(skh_log_level_t level, const char *part, const char *sentence, const char *fields, ...)
{
	va_list args;
	char *field_text;

	if (level < min_log_level || (to_stdout && !admit_line()))
		return;
	va_start(args, fields);
	field_text = g_strdup_vprintf(fields, args);
	va_end(args);
	add_context(&field_text);
	const GLogField list[] = {
		{ "PRIORITY", level_table[level].priority, -1 },
		{ "SKH_PART", part, -1 },
		{ "MESSAGE", sentence, -1 },
		{ "SKH_FIELDS", field_text, -1 },
	};
	g_log_structured_array(level_table[level].flag, list, G_N_ELEMENTS(list));
	g_free(field_text);
}
