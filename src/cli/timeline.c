/* The `timeline` command: merges JSON logs in the order of their hybrid logical
 * clocks. */
#include <argp.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"
#include "base/vec.h"
#include "cli/command.h"

typedef struct
{
  char *hlc;
  json_object *object;
  size_t order; /* position in the input, which keeps the sort stable */
} timeline_event_t;

BR_VEC (timeline_events, timeline_event_t);
BR_VEC (timeline_files, const char *);

typedef struct
{
  timeline_files_t files;
  const char *contract;
  bool json;
} timeline_arguments_t;

static const struct argp_option timeline_options[] = {
  { "contract", 'c', "ID", 0, "Only the events of this contract", 0 },
  { "json", 'j', NULL, 0, "Print JSON lines", 0 },
  { 0 },
};

static error_t
timeline_parse (int key, char *arg, struct argp_state *state)
{
  timeline_arguments_t *arguments = state->input;

  switch (key)
    {
    case 'c':
      arguments->contract = arg;
      return 0;
    case 'j':
      arguments->json = true;
      return 0;
    case ARGP_KEY_ARG:
      timeline_files_push (&arguments->files, arg);
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp timeline_argp = {
  .options = timeline_options,
  .parser = timeline_parse,
  .args_doc = "LOG...",
  .doc = "Merges the logs of several processes in time order.",
};

static const char *
event_text (const timeline_event_t *event, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (event->object, key, &value))
    return "";
  return json_object_get_string (value);
}

static int
event_compare (const void *a, const void *b)
{
  const timeline_event_t *left = a;
  const timeline_event_t *right = b;
  int order = strcmp (left->hlc, right->hlc);

  if (order != 0)
    return order;
  return (left->order > right->order) - (left->order < right->order);
}

static void
timeline_add_line (timeline_events_t *events,
                   const timeline_arguments_t *arguments,
                   const char *line)
{
  timeline_event_t event
      = { .object = json_tokener_parse (line), .order = events->len };
  const char *hlc;

  if (event.object == NULL)
    return;
  hlc = event_text (&event, "hlc");
  if (hlc[0] == '\0'
      || (arguments->contract != NULL
          && strcmp (event_text (&event, "contract"), arguments->contract)
                 != 0))
    {
      json_object_put (event.object);
      return;
    }
  event.hlc = br_str_dup (br_str_from (hlc));
  timeline_events_push (events, event);
}

static bool
timeline_read (timeline_events_t *events,
               const timeline_arguments_t *arguments,
               const char *path)
{
  FILE *stream = fopen (path, "r");
  char *line = NULL;
  size_t size = 0;

  if (stream == NULL)
    return false;
  while (getline (&line, &size, stream) > 0)
    timeline_add_line (events, arguments, line);
  free (line);
  fclose (stream);
  return true;
}

static bool
key_is_in_prefix (const char *key)
{
  static const char *const prefix[]
      = { "hlc", "vm", "incarnation", "part", "event" };

  for (size_t i = 0; i < BR_N_ELEMENTS (prefix); i++)
    if (strcmp (key, prefix[i]) == 0)
      return true;
  return false;
}

static void
event_print (const timeline_event_t *event)
{
  printf ("%s %-14s %-8s %-16s", event->hlc, event_text (event, "vm"),
          event_text (event, "part"), event_text (event, "event"));
  json_object_object_foreach (event->object, key, value)
  {
    const char *text = json_object_get_string (value);

    if (!key_is_in_prefix (key) && text != NULL && text[0] != '\0')
      printf (" %s=%s", key, text);
  }
  printf ("\n");
}

static void
timeline_print (timeline_events_t *events, bool json)
{
  qsort (events->items, events->len, sizeof *events->items, event_compare);
  for (size_t i = 0; i < events->len; i++)
    {
      timeline_event_t *event = &events->items[i];

      if (json)
        printf ("%s\n", json_object_to_json_string_ext (
                            event->object, JSON_C_TO_STRING_PLAIN));
      else
        event_print (event);
      free (event->hlc);
      json_object_put (event->object);
    }
}

int
br_command_timeline (int argc, char **argv)
{
  timeline_arguments_t arguments = { 0 };
  timeline_events_t events = { 0 };
  br_error_t err;
  int code = 0;

  argp_parse (&timeline_argp, argc, argv, 0, NULL, &arguments);
  for (size_t i = 0; i < arguments.files.len; i++)
    if (!timeline_read (&events, &arguments, arguments.files.items[i]))
      {
        br_error_set (&err, BR_ERROR_USAGE, "read log",
                      arguments.files.items[i], "the file cannot be opened");
        code = br_command_fail (&err);
      }
  if (events.len > 0)
    timeline_print (&events, arguments.json);
  timeline_events_free (&events);
  timeline_files_free (&arguments.files);
  return code;
}
