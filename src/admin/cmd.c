#include "cmd.h"

#include "balancer.h"
#include "entry.h"
#include "gateway.h"
#include "sidecar.h"

#include <stdio.h>
#include <zmq.h>

bool skh_cmd_parse(int argc, char **argv, void **table, const struct arg_lit *help,
		   struct arg_end *end, const char *summary, int *status)
{
	int n_errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		(void)printf("usage: skylarkhead %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		(void)printf("%s\n\n", summary);
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		*status = SKH_EXIT_OK;
		return false;
	}
	if (n_errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		(void)fprintf(stderr, "'skylarkhead %s --help' tells more.\n", argv[0]);
		*status = SKH_EXIT_USAGE;
		return false;
	}
	return true;
}

void skh_cmd_print_validation_errors(FILE *out, const char *file, skh_validation_errors_t *errors)
{
	for (size_t i = 0; i < skh_validation_errors_count(errors); i++) {
		const skh_validation_error_t *error = skh_validation_errors_at(errors, i);

		(void)fprintf(out, "%s:%u: %s: %s\n", file, error->line,
			      *error->key ? error->key : "(document)", error->reason);
	}
}

skh_settings_t *skh_cmd_load_settings(const char *file, skh_role_t role)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_settings_t *settings = skh_settings_load(file, role, errors);

	if (skh_validation_errors_count(errors) > 0) {
		skh_cmd_print_validation_errors(stderr, file, errors);
		skh_settings_free(settings);
		settings = NULL;
	}
	skh_validation_errors_free(errors);
	return settings;
}

#define Z85_KEY_BYTES 41 /* with the terminating NUL */

static int run_role(int argc, char **argv, skh_role_t role, const char *summary,
		    int (*run)(const skh_settings_t *settings))
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file = arg_file1("s", "settings", "FILE", "settings of this instance");
	struct arg_end *end = arg_end(4);
	void *table[] = { file, help, end };
	skh_settings_t *settings;
	int status = SKH_EXIT_FAILURE;

	if (skh_cmd_parse(argc, argv, table, help, end, summary, &status)) {
		settings = skh_cmd_load_settings(file->filename[0], role);
		if (settings)
			status = run(settings);
		skh_settings_free(settings);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}

int skh_cmd_entry(int argc, char **argv)
{
	return run_role(argc, argv, SKH_ROLE_ENTRY, "Run an entry instance until SIGTERM.",
			skh_entry_main);
}

int skh_cmd_sidecar(int argc, char **argv)
{
	return run_role(argc, argv, SKH_ROLE_SIDECAR,
			"Run the sidecar of a backend server until SIGTERM.", skh_sidecar_main);
}

int skh_cmd_gateway(int argc, char **argv)
{
	return run_role(argc, argv, SKH_ROLE_GATEWAY,
			"Run an entry that reaches backend servers directly until SIGTERM.",
			skh_gateway_main);
}

int skh_cmd_balancer(int argc, char **argv)
{
	return run_role(argc, argv, SKH_ROLE_BALANCER,
			"Run the balancer of experts beside a model server until SIGTERM.",
			skh_balancer_main);
}

int skh_cmd_version(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(2);
	void *table[] = { help, end };
	int status = SKH_EXIT_OK;

	if (skh_cmd_parse(argc, argv, table, help, end, "Print the version.", &status))
		(void)printf("skylarkhead %s\n", SKYLARKHEAD_VERSION);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}

int skh_cmd_keygen(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(2);
	void *table[] = { help, end };
	char public_key[Z85_KEY_BYTES];
	char secret_key[Z85_KEY_BYTES];
	int status = SKH_EXIT_OK;

	if (skh_cmd_parse(argc, argv, table, help, end,
			  "Print a new key pair as the [security] section of settings.", &status)) {
		(void)zmq_curve_keypair(public_key, secret_key);
		(void)printf("[security]\nlink_public_key = '%s'\nlink_secret_key = '%s'\n",
			     public_key, secret_key);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
