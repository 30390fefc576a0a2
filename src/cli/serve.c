/* The `serve` command: runs this VM's process. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli/command.h"
#include "shell/node.h"

#define SETTINGS_VARIABLE "BRIARRACK_SETTINGS"

static error_t
serve_parse (int key, char *arg, struct argp_state *state)
{
  const char **file = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*file != NULL)
        argp_usage (state);
      *file = arg;
      return 0;
    case ARGP_KEY_END:
      if (*file == NULL)
        *file = getenv (SETTINGS_VARIABLE);
      if (*file == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp serve_argp = {
  .parser = serve_parse,
  .args_doc = "[SETTINGS]",
  .doc = "Runs this VM's process in the foreground.  SETTINGS is a JSON file "
         "with comments; when it is left out, the variable " SETTINGS_VARIABLE
         " names it.  The log goes to standard error, or at a site that the "
         "platform runs to standard output, one JSON object per line.  "
         "SIGTERM stops the process without cutting a request.",
};

/* Blocks or unblocks the signal to reload.  Until its handler is set, its
 * default action would end the process; a blocked one waits. */
static void
mask_reload (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

int
br_command_serve (int argc, char **argv)
{
  const char *file = NULL;
  br_settings_t settings;
  br_buf_t faults = { 0 };
  br_error_t err;
  br_node_t *node;
  FILE *log_stream;

  mask_reload (SIG_BLOCK);
  argp_parse (&serve_argp, argc, argv, 0, NULL, &file);
  if (!br_settings_load (file, &settings, &faults))
    {
      fputs (faults.data, stderr);
      br_buf_free (&faults);
      br_settings_release (&settings);
      return br_error_exit_code (BR_ERROR_SETTINGS);
    }
  log_stream = settings.site.role != BR_SITE_NONE ? stdout : stderr;
  node = br_node_new (&settings, log_stream, &err);
  if (node == NULL)
    return br_command_fail (&err);
  mask_reload (SIG_UNBLOCK);
  br_node_run (node);
  br_node_free (node);
  return 0;
}
