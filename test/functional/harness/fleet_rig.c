/* Starts the processes of a fleet: control instances and entries. */
#include "harness/fleet_rig.h"

#include <string.h>

/*
 * Chooses the addresses of the control instances.  A process finds the peer
 * address of a seed by its own peer port, so that each of several instances
 * has an IP address of its own, with the same ports.
 */
void fleet_rig_init(fleet_rig_t *rig, harness_t *harness, size_t control_count)
{
	const char *first = harness_address(harness);
	const char *rest = strchr(strchr(harness->ip, '.') + 1, '.');

	memset(rig, 0, sizeof(*rig));
	rig->harness = harness;
	rig->control_count = control_count;
	rig->peer_port = strrchr(harness_address(harness), ':') + 1;
	rig->control_addresses[0] = first;
	for (size_t i = 1; i < control_count; i++)
		rig->control_addresses[i] =
			harness_string(harness, "127.%zu%s%s", i + 100, rest,
				       strrchr(first, ':'));
}

static harness_process_t *start(fleet_rig_t *rig, const char *name,
				const char *role, const char *ip,
				const char *addresses)
{
	harness_t *harness = rig->harness;
	GString *text = g_string_new(NULL);
	const char *argv[] = { harness_program(harness, "wisteriad"),
			       "--config", NULL, NULL };

	rig->metrics_address = harness_address(harness);
	g_string_append_printf(text,
			       "instance: %s\n"
			       "failure_domain: z1\n"
			       "region: here\n"
			       "log_level: info\n"
			       "metrics_listen: \"%s\"\n"
			       "roles: [%s]\n"
			       "fleet:\n%s"
			       "  peer_listen: \"%s:%s\"\n"
			       "  seeds:\n",
			       name, rig->metrics_address, role, addresses, ip,
			       rig->peer_port);
	for (size_t i = 0; i < rig->control_count; i++)
		g_string_append_printf(text, "    - \"%s\"\n",
				       rig->control_addresses[i]);
	g_string_append(text, "  stop_s: 8\n");
	argv[2] = harness_write_file(
		harness, harness_string(harness, "%s.yaml", name), text->str);
	g_string_free(text, TRUE);
	return harness_start(harness, name, argv);
}

/* Starts control instance "index"; its data folder is named after it. */
harness_process_t *fleet_rig_start_control(fleet_rig_t *rig, size_t index,
					   const char *name)
{
	const char *address = rig->control_addresses[index];
	const char *folder = harness_path(
		rig->harness, harness_string(rig->harness, "%s-data", name));
	const char *addresses = harness_string(rig->harness,
					       "  control_listen: \"%s\"\n"
					       "  data_dir: \"%s\"\n"
					       "  bootstrap: true\n",
					       address, folder);
	char *ip = g_strndup(address, strcspn(address, ":"));
	harness_process_t *process =
		start(rig, name, "fleet_control", ip, addresses);

	g_free(ip);
	return process;
}

/* Starts an entry that serves callers at "address". */
harness_process_t *fleet_rig_start_entry(fleet_rig_t *rig, const char *name,
					 const char *address)
{
	const char *addresses =
		harness_string(rig->harness,
			       "  front_listen: \"%s\"\n"
			       "  ready_listen: \"%s\"\n",
			       address, harness_address(rig->harness));

	return start(rig, name, "fleet_entry", rig->harness->ip, addresses);
}
