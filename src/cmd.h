#ifndef SKH_CMD_H
#define SKH_CMD_H

/**
 * DOC: Command lines
 *
 * What the commands share: parsing with argtable2, help, and faults on
 * standard error.
 */

#include "schema.h"
#include "settings.h"
#include "skylarkhead.h"

#include <argtable2.h>

/**
 * skh_cmd_parse() - parse @argv by @table
 * @help: the table's --help literal
 * @summary: one line for --help
 * Return: true to go on; otherwise *@status is the exit status.
 */
bool skh_cmd_parse(int argc, char **argv, void **table, const struct arg_lit *help,
		   struct arg_end *end, const char *summary, int *status);

/** skh_cmd_print_validation_errors() - one line per fault: FILE:LINE: KEY: REASON */
void skh_cmd_print_validation_errors(FILE *out, const char *file, skh_validation_errors_t *faults);

/** skh_cmd_load_settings() - settings without fault, or NULL after printing the faults */
skh_settings_t *skh_cmd_load_settings(const char *file, skh_role_t role);

#endif
