/* The `get` and `settle` commands: show declarations and claims, settle a
 * claim. */
#include <argp.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "cli/client.h"
#include "cli/command.h"

typedef struct
{
  br_client_t client;
  const char *argument; /* KIND, "claims" or KEY */
  const char *selector;
  const char *state;
} get_t;

static error_t
get_parse (int key, char *arg, struct argp_state *state)
{
  get_t *get = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &get->client;
      return 0;
    case 'l':
      get->selector = arg;
      return 0;
    case 'a':
      get->state = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (get->argument != NULL)
        argp_usage (state);
      get->argument = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child get_children[] = {
  { &br_client_argp, 0, NULL, 0 },
  { 0 },
};

static const char *
member (json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return "";
  return json_object_get_string (value);
}

static void
print_claim (json_object *claim)
{
  printf ("%s  %s  vm %s, attempt %s", member (claim, "key"),
          member (claim, "state"), member (claim, "vm"),
          member (claim, "attempt"));
  if (member (claim, "settle_in_ms")[0] != '\0')
    printf (", may be settled in %s ms", member (claim, "settle_in_ms"));
  printf ("\n");
}

static void
print_declaration (json_object *declaration)
{
  printf ("%s/%s  %s\n", member (declaration, "kind"),
          member (declaration, "name"),
          json_object_to_json_string_ext (
              declaration,
              JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
}

static void
get_print (const get_t *get, const br_buf_t *out)
{
  json_object *answer = json_tokener_parse (out->data);
  json_object *list;

  if (get->client.json || answer == NULL)
    fputs (out->data, stdout);
  else if (json_object_object_get_ex (answer, "claims", &list))
    for (size_t i = 0; i < json_object_array_length (list); i++)
      print_claim (json_object_array_get_idx (list, i));
  else if (json_object_object_get_ex (answer, "declarations", &list))
    {
      for (size_t i = 0; i < json_object_array_length (list); i++)
        print_declaration (json_object_array_get_idx (list, i));
      printf ("revision %s\n", member (answer, "revision"));
    }
  json_object_put (answer);
}

static void
add_query (br_buf_t *path, const char *key, const char *value)
{
  char *encoded;

  if (value == NULL)
    return;
  encoded = evhttp_encode_uri (value);
  br_buf_printf (path, "%c%s=%s",
                 memchr (path->data, '?', path->len) != NULL ? '&' : '?', key,
                 encoded);
  free (encoded);
}

static int
get_run (const get_t *get, enum evhttp_cmd_type method, br_buf_t *path)
{
  br_buf_t out = { 0 };
  br_error_t err;
  int code = 0;

  if (br_client_call (&get->client, method, path->data, br_str_from (""), &out,
                      &err))
    get_print (get, &out);
  else
    code = br_command_fail (&err);
  br_buf_free (&out);
  br_buf_free (path);
  return code;
}

int
br_command_get (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "selector", 'l', "SELECTOR", 0,
      "Only declarations whose labels, with kind and name, match", 0 },
    { "state", 'a', "STATE", 0,
      "Claims in this state: claimed, sent, answered, not-run or unknown (the "
      "default)",
      0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = get_parse,
    .args_doc = "[KIND | claims]",
    .doc = "Shows the declarations in force, or the claims on work that runs "
           "at most once.",
    .children = get_children,
  };
  get_t get = { 0 };
  br_buf_t path = { 0 };

  br_client_init (&get.client);
  argp_parse (&argp, argc, argv, 0, NULL, &get);
  if (get.argument != NULL && strcmp (get.argument, "claims") == 0)
    {
      br_buf_printf (&path, "/v1/claims");
      add_query (&path, "state", get.state);
      return get_run (&get, EVHTTP_REQ_GET, &path);
    }
  br_buf_printf (&path, "/v1/declarations");
  add_query (&path, "kind", get.argument);
  add_query (&path, "selector", get.selector);
  return get_run (&get, EVHTTP_REQ_GET, &path);
}

int
br_command_settle (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "as", 'a', "OUTCOME", 0, "answered or not-run", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = options,
    .parser = get_parse,
    .args_doc = "KEY",
    .doc = "Settles a claim whose outcome is unknown, once you have checked "
           "what the upstream did.  KEY is printed by `get claims`.",
    .children = get_children,
  };
  get_t get = { 0 };
  br_buf_t path = { 0 };

  br_client_init (&get.client);
  argp_parse (&argp, argc, argv, 0, NULL, &get);
  if (get.argument == NULL || get.state == NULL)
    {
      fprintf (stderr, "briarrack settle: KEY and --as are required\n");
      return br_error_exit_code (BR_ERROR_USAGE);
    }
  br_buf_printf (&path, "/v1/claims/settle");
  add_query (&path, "key", get.argument);
  add_query (&path, "as", get.state);
  return get_run (&get, EVHTTP_REQ_POST, &path);
}
