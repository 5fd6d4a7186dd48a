#include "cmd.h"
#include "manifest.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static int print_result(const char *file, skh_validation_errors_t *errors)
{
	size_t n_errors = skh_validation_errors_count(errors);

	skh_cmd_print_validation_errors(stdout, file, errors);
	if (n_errors > 0)
		(void)printf("%s: %zu fault%s\n", file, n_errors, n_errors == 1 ? "" : "s");
	else
		(void)printf("%s: no faults\n", file);
	return n_errors > 0 ? SKH_EXIT_FAILURE : SKH_EXIT_OK;
}

static int check_settings(const char *file, skh_role_t role)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	int status;

	skh_settings_free(skh_settings_load(file, role, errors));
	status = print_result(file, errors);
	skh_validation_errors_free(errors);
	return status;
}

static int check_manifest(const char *file)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize len = 0;
	skh_validation_errors_t *errors = skh_validation_errors_new();
	int status;

	if (g_file_get_contents(file, &text, &len, &error))
		skh_manifest_unref(skh_manifest_from_toml(skh_chunk_make(text, len), errors));
	else
		skh_validation_errors_add(errors, 0, "", "%s", error->message);
	status = print_result(file, errors);
	skh_validation_errors_free(errors);
	return status;
}

/* Values of KIND that name settings; check_file() handles "manifest" separately. */
static const struct {
	const char *kind;
	skh_role_t role;
} settings_kinds[] = {
	{ "entry", SKH_ROLE_ENTRY },
	{ "sidecar", SKH_ROLE_SIDECAR },
	{ "gateway", SKH_ROLE_GATEWAY },
	{ "balancer", SKH_ROLE_BALANCER },
};

static int check_file(const char *kind, const char *file)
{
	if (strcmp(kind, "manifest") == 0)
		return check_manifest(file);
	for (size_t i = 0; i < G_N_ELEMENTS(settings_kinds); i++) {
		if (strcmp(kind, settings_kinds[i].kind) == 0)
			return check_settings(file, settings_kinds[i].role);
	}
	(void)fprintf(stderr,
		      "check: KIND is entry, sidecar, gateway, balancer or manifest, not \"%s\"\n",
		      kind);
	return SKH_EXIT_USAGE;
}

int skh_cmd_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *kind = arg_str1(NULL, NULL, "KIND",
					"what the file holds: a role's settings, or \"manifest\"");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "file to check");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, kind, file, end };
	int status = SKH_EXIT_OK;

	if (skh_cmd_parse(
		    argc, argv, table, help, end,
		    "Print every fault with its line, key and reason; exit 1 if there is any.",
		    &status)) {
		status = check_file(kind->sval[0], file->filename[0]);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
