#include "skylarkhead.h"

#include <stdio.h>
#include <string.h>

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} command_t;

static const command_t commands[] = {
	{ "entry", skh_cmd_entry, "run an entry instance, which callers reach" },
	{ "sidecar", skh_cmd_sidecar, "run the process beside a backend server" },
	{ "gateway", skh_cmd_gateway, "run an entry that reaches backend servers directly" },
	{ "balancer", skh_cmd_balancer, "run the balancer of experts beside a model server" },
	{ "check", skh_cmd_check, "print every fault of settings or of a manifest" },
	{ "apply", skh_cmd_apply, "put a manifest in force and wait until it is" },
	{ "status", skh_cmd_status, "print what instances say of themselves" },
	{ "keygen", skh_cmd_keygen, "print a new key pair for the links between processes" },
	{ "version", skh_cmd_version, "print the version" },
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void print_usage(FILE *out)
{
	(void)fprintf(out, "usage: skylarkhead COMMAND [OPTIONS]\n\n");
	for (size_t i = 0; i < N_COMMANDS; i++)
		(void)fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].summary);
	(void)fprintf(out, "\n'skylarkhead COMMAND --help' tells more.\n");
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return SKH_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
		print_usage(stdout);
		return SKH_EXIT_OK;
	}
	for (size_t i = 0; i < N_COMMANDS; i++) {
		if (strcmp(commands[i].name, argv[1]) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	(void)fprintf(stderr, "skylarkhead: no command is called \"%s\"\n", argv[1]);
	print_usage(stderr);
	return SKH_EXIT_USAGE;
}
