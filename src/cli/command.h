/* The subcommands of the program. */
#ifndef BR_CLI_COMMAND_H
#define BR_CLI_COMMAND_H

#include "base/error.h"

BR_BEGIN_DECLS

/* X (id, name, help) */
#define BR_COMMAND_TABLE(X)                                                    \
  X (SERVE, serve, "run this VM's process")                                    \
  X (CHECK, check, "check a settings file, or describe all settings")          \
  X (APPLY, apply, "put declarations in force")                                \
  X (GET, get, "show declarations or claims")                                  \
  X (DELETE, delete, "remove declarations")                                    \
  X (SETTLE, settle, "settle a claim whose outcome is unknown")                \
  X (STATUS, status, "show what a VM sees and which revision is in force")     \
  X (ROLLOUT, rollout, "move a service to another version, or show how far")   \
  X (DRAIN, drain, "stop a VM's process without cutting a request")            \
  X (RESCUE, rescue, "go on with one VM when most voters are lost for good")   \
  X (TIMELINE, timeline, "merge the logs of several processes")

/* Each parses its own arguments and returns the exit code of the process.
 * ARGV[0] is "briarrack NAME". */
#define X(id, name, help) int br_command_##name (int argc, char **argv);
BR_COMMAND_TABLE (X)
#undef X

/* Writes ERR to standard error and returns the exit code of its kind. */
int br_command_fail (const br_error_t *err);

BR_END_DECLS

#endif
