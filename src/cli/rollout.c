/* The `rollout` command: orders the rollout of a version and shows its state.
 */
#include <argp.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/client.h"
#include "cli/command.h"
#include "platform/rollout_codec.h"

/* Time between two calls of --wait and after a refusal, in milliseconds. */
#define CALL_PERIOD_MS 300

#define ARGUMENTS_MAX 4

typedef struct
{
  br_client_t client;
  bool wait;
  const char *arguments[ARGUMENTS_MAX];
  size_t n_arguments;
} rollout_t;

static error_t
rollout_parse (int key, char *arg, struct argp_state *state)
{
  rollout_t *rollout = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &rollout->client;
      return 0;
    case 'w':
      rollout->wait = true;
      return 0;
    case ARGP_KEY_ARG:
      if (rollout->n_arguments == ARGUMENTS_MAX)
        argp_usage (state);
      rollout->arguments[rollout->n_arguments++] = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
pause_between_calls (void)
{
  struct timespec pause = { 0, CALL_PERIOD_MS * 1000000L };

  nanosleep (&pause, NULL);
}

/* Prints the state in ANSWER.  Returns the exit code: 0 unless it was rolled
 * back. */
static int
print_state (const rollout_t *rollout, const br_buf_t *answer, bool *is_final)
{
  br_name_t state = { 0 };
  br_name_t target = { 0 };
  br_error_t err;

  *is_final = true;
  if (!br_platform_read_rollout_state (br_buf_str (answer), &state, &target,
                                       &err))
    return br_command_fail (&err);
  *is_final = strcmp (state.data, "running") != 0;
  if (!*is_final && rollout->wait)
    return 0;
  if (rollout->client.json)
    fputs (answer->data, stdout);
  else
    printf ("%s %s to %s\n", rollout->arguments[1], state.data, target.data);
  return strcmp (state.data, "rolled_back") == 0
             ? br_error_exit_code (BR_ERROR_CONFLICT)
             : 0;
}

static int
show_status (const rollout_t *rollout)
{
  br_buf_t path = { 0 };
  char *service = evhttp_encode_uri (rollout->arguments[1]);
  bool is_final = false;
  int code = 0;

  br_buf_printf (&path, "/v1/rollouts/%s", service);
  free (service);
  do
    {
      br_buf_t answer = { 0 };
      br_error_t err;

      if (br_client_call (&rollout->client, EVHTTP_REQ_GET, path.data,
                          br_str_from (""), &answer, &err))
        code = print_state (rollout, &answer, &is_final);
      else if (!rollout->wait || err.code != BR_ERROR_UNAVAILABLE)
        {
          code = br_command_fail (&err);
          is_final = true;
        }
      br_buf_free (&answer);
      if (rollout->wait && !is_final)
        pause_between_calls ();
    }
  while (rollout->wait && !is_final);
  br_buf_free (&path);
  return code;
}

static int
start (const rollout_t *rollout)
{
  br_buf_t body = { 0 };
  br_buf_t answer = { 0 };
  char *end;
  double duration_s = strtod (rollout->arguments[3], &end);
  br_error_t err;
  bool ok;

  if (*end != '\0' || end == rollout->arguments[3])
    {
      fprintf (stderr, "briarrack rollout: DURATION_S is not a number: %s\n",
               rollout->arguments[3]);
      return br_error_exit_code (BR_ERROR_USAGE);
    }
  br_platform_write_rollout_order (rollout->arguments[1], rollout->arguments[2],
                                   duration_s, &body);
  ok = br_client_call (&rollout->client, EVHTTP_REQ_POST, "/v1/rollouts",
                       br_buf_str (&body), &answer, &err);
  br_buf_free (&body);
  if (ok && !rollout->wait)
    {
      bool is_final;

      print_state (rollout, &answer, &is_final);
    }
  br_buf_free (&answer);
  if (!ok)
    return br_command_fail (&err);
  return rollout->wait ? show_status (rollout) : 0;
}

int
br_command_rollout (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "wait", 'w', 0, 0, "Wait for the end; exit code 7 if it is rolled back",
      0 },
    { 0 },
  };
  static const struct argp_child children[] = {
    { &br_client_argp, 0, NULL, 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = rollout_parse,
    .args_doc = "start SERVICE TARGET DURATION_S\nstatus SERVICE",
    .doc
    = "Moves a service to the version TARGET within DURATION_S seconds, or "
      "shows how far that is.",
    .children = children,
  };
  rollout_t rollout = { 0 };

  br_client_init (&rollout.client);
  argp_parse (&argp, argc, argv, 0, NULL, &rollout);
  if (rollout.n_arguments == 4 && strcmp (rollout.arguments[0], "start") == 0)
    return start (&rollout);
  if (rollout.n_arguments == 2 && strcmp (rollout.arguments[0], "status") == 0)
    return show_status (&rollout);
  fprintf (stderr,
           "briarrack rollout: expected start SERVICE TARGET DURATION_S "
           "or status SERVICE\n");
  return br_error_exit_code (BR_ERROR_USAGE);
}
