/* The `status` and `drain` commands. */
#include <argp.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "cli/client.h"
#include "cli/command.h"

static error_t
status_parse (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != ARGP_KEY_INIT)
    return ARGP_ERR_UNKNOWN;
  state->child_inputs[0] = state->input;
  return 0;
}

static const struct argp_child status_children[] = {
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
print_revisions (json_object *list)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *vm = json_object_array_get_idx (list, i);
      const char *last_seen = member (vm, "heard_ms_ago");

      printf ("  %-20s revision %s%s", member (vm, "vm"),
              member (vm, "revision"),
              strcmp (member (vm, "lags"), "true") == 0 ? ", lags" : "");
      if (strcmp (last_seen, "-1") == 0)
        printf (", no report yet\n");
      else
        printf (", last report %s ms ago\n", last_seen);
    }
}

static void
print_peers (json_object *list)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *peer = json_object_array_get_idx (list, i);

      printf ("  %-20s %s, delay %s ms\n", member (peer, "vm"),
              strcmp (member (peer, "up"), "true") == 0 ? "up" : "down",
              member (peer, "delay_ms"));
    }
}

static void
status_print (const br_buf_t *out)
{
  json_object *answer = json_tokener_parse (out->data);
  json_object *list;

  if (answer == NULL)
    {
      fputs (out->data, stdout);
      return;
    }
  printf ("%s in %s: revision %s, %s requests in progress%s\n",
          member (answer, "vm"), member (answer, "failure_domain"),
          member (answer, "revision"), member (answer, "in_progress"),
          strcmp (member (answer, "draining"), "true") == 0 ? ", stopping"
                                                            : "");
  printf ("Revisions in force:\n");
  if (json_object_object_get_ex (answer, "revisions", &list))
    print_revisions (list);
  printf ("Links:\n");
  if (json_object_object_get_ex (answer, "peers", &list))
    print_peers (list);
  json_object_put (answer);
}

static int
status_run (const br_client_t *client,
            enum evhttp_cmd_type method,
            const char *path,
            bool summarise)
{
  br_buf_t out = { 0 };
  br_error_t err;
  int code = 0;

  if (!br_client_call (client, method, path, br_str_from (""), &out, &err))
    code = br_command_fail (&err);
  else if (summarise && !client->json)
    status_print (&out);
  else
    fputs (out.data, stdout);
  br_buf_free (&out);
  return code;
}

int
br_command_status (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = status_parse,
    .doc = "Shows what a VM sees, and which revision each VM has in force.",
    .children = status_children,
  };
  br_client_t client;

  br_client_init (&client);
  argp_parse (&argp, argc, argv, 0, NULL, &client);
  return status_run (&client, EVHTTP_REQ_GET, "/v1/status", true);
}

int
br_command_drain (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = status_parse,
    .doc = "Stops a VM's process without cutting a request.",
    .children = status_children,
  };
  br_client_t client;

  br_client_init (&client);
  argp_parse (&argp, argc, argv, 0, NULL, &client);
  return status_run (&client, EVHTTP_REQ_POST, "/v1/drain", false);
}
