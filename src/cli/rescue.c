/* The `rescue` command: lets one VM go on alone with its copy of the log, when
 * a majority of the voters was lost for good. */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>

#include "cli/command.h"
#include "shell/replica_rescue.h"

typedef struct
{
  const char *file;
  bool accept_loss;
} rescue_arguments_t;

static const struct argp_option rescue_options[] = {
  { "accept-loss", 'a', NULL, 0,
    "Make this VM the only voter; what only the others had is lost", 0 },
  { 0 },
};

static error_t
rescue_parse (int key, char *arg, struct argp_state *state)
{
  rescue_arguments_t *arguments = state->input;

  switch (key)
    {
    case 'a':
      arguments->accept_loss = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->file != NULL)
        argp_usage (state);
      arguments->file = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->file == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp rescue_argp = {
  .options = rescue_options,
  .parser = rescue_parse,
  .args_doc = "SETTINGS",
  .doc = "Shows the log in this VM's data folder.  With --accept-loss, the log "
         "goes on with this VM as its only voter, and the other VMs must start "
         "with empty data folders.  The VM's process must not run.",
};

int
br_command_rescue (int argc, char **argv)
{
  rescue_arguments_t arguments = { 0 };
  br_settings_t settings;
  br_buf_t faults = { 0 };
  br_rescue_t rescue = { 0 };
  br_error_t err;
  bool ok;

  argp_parse (&rescue_argp, argc, argv, 0, NULL, &arguments);
  ok = br_settings_load (arguments.file, &settings, &faults);
  if (!ok)
    br_error_set (&err, BR_ERROR_SETTINGS, "read settings", arguments.file,
                  "%s", faults.len > 0 ? faults.data : "not readable");
  ok = ok
       && br_replica_rescue (&settings, arguments.accept_loss, &rescue, &err);
  if (ok)
    printf ("{\"last_term\":%" PRIu64 ",\"last_index\":%" PRIu64
            ",\"committed\":%" PRIu64 ",\"voters\":\"%s\",\"only_voter\":%s}\n",
            rescue.last_term, rescue.last_index, rescue.commit,
            rescue.voters.data, arguments.accept_loss ? "true" : "false");
  br_rescue_release (&rescue);
  br_settings_release (&settings);
  br_buf_free (&faults);
  return ok ? 0 : br_command_fail (&err);
}
