#define G_LOG_USE_STRUCTURED
#include "log.h"
#include "clock.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define LAST_FIELD "reason"
/* Lines a second; what is beyond is counted and left out. */
#define MOST_LINES 400

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

static skh_log_level_t lowest_level = SKH_LOG_INFO;
static bool write_json;
static bool to_stdout;

/* Lines of the second under way; a line more or less does not matter between threads. */
static int64_t second;
static uint32_t lines;
static uint64_t dropped;

static bool may_write(void)
{
	int64_t now_s = skh_clock_boot_us() / SKH_US_PER_S;

	if (now_s != second) {
		second = now_s;
		lines = 0;
	}
	if (++lines <= MOST_LINES)
		return true;
	dropped++;
	return false;
}

/* One write for each line, so that lines of several threads do not mix; it never waits. */
static void put_line(const char *text, size_t len)
{
	if (!to_stdout) {
		(void)fwrite(text, 1, len, stderr);
		return;
	}
	if (write(STDOUT_FILENO, text, len) != (ssize_t)len)
		dropped++;
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

static void print_json(const char *level, const char *part, const char *message, const char *fields)
{
	json_t *line = json_object();
	char *text;

	json_object_set_new(line, "unix_ms", json_integer(skh_clock_unix_ms()));
	json_object_set_new(line, "level", json_string(level));
	json_object_set_new(line, "part", json_string(part));
	json_object_set_new(line, "message", json_string(message));
	add_json_fields(line, fields);
	if (dropped > 0)
		json_object_set_new(line, "lines_dropped", json_integer((json_int_t)dropped));
	text = json_dumps(line, JSON_COMPACT);
	if (text) {
		g_autofree char *whole = g_strconcat(text, "\n", NULL);

		put_line(whole, strlen(whole));
	}
	free(text);
	json_decref(line);
}

static GLogWriterOutput write_line(GLogLevelFlags flag, const GLogField *fields, gsize n,
				   gpointer unused)
{
	const char *part = "glib";
	const char *message = "";
	const char *pairs = "";

	(void)unused;
	for (gsize i = 0; i < n; i++) {
		if (strcmp(fields[i].key, "SKH_PART") == 0)
			part = fields[i].value;
		else if (strcmp(fields[i].key, "MESSAGE") == 0)
			message = fields[i].value;
		else if (strcmp(fields[i].key, "SKH_FIELDS") == 0)
			pairs = fields[i].value;
	}
	if (write_json)
		print_json(level_name(flag), part, message, pairs);
	else {
		g_autofree char *whole = g_strdup_printf("%s: %s: %s%s%s\n", level_name(flag), part,
							 message, *pairs ? " " : "", pairs);

		put_line(whole, strlen(whole));
	}
	return G_LOG_WRITER_HANDLED;
}

void skh_log_setup(skh_log_level_t lowest, bool json)
{
	lowest_level = lowest;
	write_json = json;
	g_log_set_writer_func(write_line, NULL, NULL);
}

void skh_log_to_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	to_stdout = true;
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void skh_log(skh_log_level_t level, const char *part, const char *sentence, const char *fields, ...)
{
	va_list args;
	char *pairs;

	if (level < lowest_level || (to_stdout && !may_write()))
		return;
	va_start(args, fields);
	pairs = g_strdup_vprintf(fields, args);
	va_end(args);
	const GLogField list[] = {
		{ "PRIORITY", level_table[level].priority, -1 },
		{ "SKH_PART", part, -1 },
		{ "MESSAGE", sentence, -1 },
		{ "SKH_FIELDS", pairs, -1 },
	};
	g_log_structured_array(level_table[level].flag, list, G_N_ELEMENTS(list));
	g_free(pairs);
}
