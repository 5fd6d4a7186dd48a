#ifndef SKH_CMD_H
#define SKH_CMD_H

/**
 * DOC: Command-line helpers
 *
 * Functions that the commands of the program share: argument parsing with
 * argtable2, --help, loading settings and printing validation errors. They run
 * on the main thread.
 */

#include "schema.h"
#include "settings.h"
#include "skylarkhead.h"

#include <argtable2.h>

/**
 * skh_cmd_parse() - parse the arguments of a command
 * @argc: number of arguments, with the command's name
 * @argv: arguments; the first is the command's name
 * @table: argtable2 table of the command
 * @help: element of @table for --help
 * @end: last element of @table, which collects the errors
 * @summary: one line that --help prints
 * @status: receives the exit status when the command must not run
 *
 * Prints the help on standard output or the errors on standard error.
 *
 * Return: true when the command must run; otherwise false with @status.
 */
bool skh_cmd_parse(int argc, char **argv, void **table, const struct arg_lit *help,
		   struct arg_end *end, const char *summary, int *status);

/**
 * skh_cmd_print_validation_errors() - print the errors as FILE:LINE: KEY: REASON, by line
 * @out: stream to print to
 * @file: name of the validated file
 * @errors: errors to print; the function sorts the list
 */
void skh_cmd_print_validation_errors(FILE *out, const char *file, skh_validation_errors_t *errors);

/**
 * skh_cmd_load_settings() - load and validate a settings file
 * @file: path of the file
 * @role: role that the settings are for
 *
 * Return: settings to be freed with skh_settings_free(), or NULL after printing the validation
 * errors on standard error.
 */
skh_settings_t *skh_cmd_load_settings(const char *file, skh_role_t role);

#endif
