/* Entry point: runs the subcommand that the command line names. */
#include <argp.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"

#define PROGRAM_NAME_MAX 64

const char *argp_program_version = "briarrack " BR_VERSION;

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
} command_row_t;

static const command_row_t command_rows[] = {
#define X(id, name, help) { #name, br_command_##name, help },
  BR_COMMAND_TABLE (X)
#undef X
};

int
br_command_fail (const br_error_t *err)
{
  br_buf_t text = { 0 };

  br_error_print (err, &text);
  fprintf (stderr, "briarrack: %s: %s\n", br_error_name (err->code), text.data);
  br_buf_free (&text);
  return br_error_exit_code (err->code);
}

static void
print_help (FILE *stream)
{
  fprintf (stream, "Usage: briarrack COMMAND [OPTION...] [ARGUMENT...]\n\n");
  for (size_t i = 0; i < BR_N_ELEMENTS (command_rows); i++)
    fprintf (stream, "  %-10s %s\n", command_rows[i].name,
             command_rows[i].help);
  fprintf (stream,
           "\n`briarrack COMMAND --help` shows its options.  Exit codes:\n");
  fprintf (stream, "  0 done, 1 internal error, 2 usage, 3 settings, "
                   "4 invalid request, 5 not allowed,\n"
                   "  6 not found, 7 conflict, 8 refused for now, 9 a peer or "
                   "upstream failed,\n"
                   "  10 unknown outcome, 11 storage, 12 damaged data\n");
}

static const command_row_t *
find_command (const char *name)
{
  for (size_t i = 0; i < BR_N_ELEMENTS (command_rows); i++)
    if (strcmp (command_rows[i].name, name) == 0)
      return &command_rows[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  static char program[PROGRAM_NAME_MAX];
  const command_row_t *command;
  const char *name = argc > 1 ? argv[1] : "";

  argp_err_exit_status = br_error_exit_code (BR_ERROR_USAGE);
  if (strcmp (name, "--help") == 0)
    {
      print_help (stdout);
      return 0;
    }
  if (strcmp (name, "--version") == 0)
    {
      printf ("%s\n", argp_program_version);
      return 0;
    }
  command = find_command (name);
  if (command == NULL)
    {
      print_help (stderr);
      return br_error_exit_code (BR_ERROR_USAGE);
    }
  snprintf (program, sizeof program, "briarrack %s", name);
  argv[1] = program;
  return command->run (argc - 1, argv + 1);
}
