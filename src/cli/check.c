/* The `check` command: checks a settings file, or describes all settings. */
#include <argp.h>
#include <stdio.h>

#include "cli/command.h"
#include "shell/settings.h"

typedef struct
{
  const char *file;
  bool describe;
} check_arguments_t;

static const struct argp_option check_options[] = {
  { "describe", 'd', NULL, 0, "List every setting with its range", 0 },
  { 0 },
};

static error_t
check_parse (int key, char *arg, struct argp_state *state)
{
  check_arguments_t *arguments = state->input;

  switch (key)
    {
    case 'd':
      arguments->describe = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->file != NULL)
        argp_usage (state);
      arguments->file = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->file == NULL && !arguments->describe)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp check_argp = {
  .options = check_options,
  .parser = check_parse,
  .args_doc = "[SETTINGS]",
  .doc = "Checks a settings file and prints all its faults.",
};

int
br_command_check (int argc, char **argv)
{
  check_arguments_t arguments = { 0 };
  br_settings_t settings;
  br_buf_t out = { 0 };
  bool ok = true;

  argp_parse (&check_argp, argc, argv, 0, NULL, &arguments);
  if (arguments.describe)
    br_settings_describe (&out);
  if (arguments.file != NULL)
    {
      ok = br_settings_load (arguments.file, &settings, &out);
      br_settings_release (&settings);
    }
  if (out.len > 0)
    fputs (out.data, ok ? stdout : stderr);
  br_buf_free (&out);
  return br_error_exit_code (ok ? BR_ERROR_OK : BR_ERROR_SETTINGS);
}
