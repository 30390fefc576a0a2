/* The `apply` and `delete` commands, which change the declarations.  Each names
 * its operation, so sending it again does not apply it twice. */
#include <argp.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "cli/client.h"
#include "cli/command.h"

#define SENDS_MAX 4
#define RESEND_DELAY_US 500000
#define OPERATION_MAX_CHARS 100

typedef struct
{
  br_client_t client;
  const char *argument; /* FILE or KIND/NAME */
  const char *expect;
  char operation[OPERATION_MAX_CHARS + 1];
  bool dry_run;
} apply_t;

static const struct argp_option apply_options[] = {
  { "dry-run", 'n', NULL, 0, "Show what would change, and change nothing", 0 },
  { "expect", 'e', "REVISION", 0,
    "Refuse the change unless this revision is in force", 0 },
  { "operation", 'o', "ID", 0,
    "Name of the operation; a repeated name returns the first outcome", 0 },
  { 0 },
};

static error_t
apply_parse (int key, char *arg, struct argp_state *state)
{
  apply_t *apply = state->input;
  uint64_t revision;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &apply->client;
      return 0;
    case 'n':
      apply->dry_run = true;
      return 0;
    case 'e':
      if (!br_str_to_u64 (br_str_from (arg), &revision))
        argp_error (state, "--expect: must be a revision, not %s", arg);
      apply->expect = arg;
      return 0;
    case 'o':
      if (strlen (arg) > OPERATION_MAX_CHARS || strlen (arg) == 0)
        argp_error (state, "--operation: must have 1 to %d characters",
                    OPERATION_MAX_CHARS);
      memcpy (apply->operation, arg, strlen (arg) + 1);
      return 0;
    case ARGP_KEY_ARG:
      if (apply->argument != NULL)
        argp_usage (state);
      apply->argument = arg;
      return 0;
    case ARGP_KEY_END:
      if (apply->argument == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child apply_children[] = {
  { &br_client_argp, 0, NULL, 0 },
  { 0 },
};

static void
apply_name_operation (apply_t *apply)
{
  uint64_t number = 0;

  if (apply->operation[0] != '\0')
    return;
  if (getrandom (&number, sizeof number, 0) != sizeof number)
    number = (uint64_t)getpid ();
  snprintf (apply->operation, sizeof apply->operation, "op-%016" PRIx64,
            number);
}

static void
apply_path (const apply_t *apply, const char *base, br_buf_t *path)
{
  char *operation = evhttp_encode_uri (apply->operation);

  br_buf_printf (path, "%s?operation=%s", base, operation);
  if (apply->expect != NULL)
    br_buf_printf (path, "&expect=%s", apply->expect);
  if (apply->dry_run)
    br_buf_printf (path, "&dry_run=1");
  free (operation);
}

/* Sends the operation until its outcome is known, SENDS_MAX times at most. */
static bool
apply_send (const apply_t *apply,
            enum evhttp_cmd_type method,
            const char *base,
            br_str_t body,
            br_buf_t *out,
            br_error_t *err)
{
  br_buf_t path = { 0 };
  bool ok = false;

  apply_path (apply, base, &path);
  for (int i = 0; i < SENDS_MAX; i++)
    {
      br_buf_clear (out);
      ok = br_client_call (&apply->client, method, path.data, body, out, err);
      if (ok
          || (err->code != BR_ERROR_UNKNOWN_OUTCOME
              && err->code != BR_ERROR_UNAVAILABLE))
        break;
      usleep (RESEND_DELAY_US);
    }
  br_buf_free (&path);
  return ok;
}

static const char *
member (json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return "";
  return json_object_get_string (value);
}

static void
print_names (json_object *names)
{
  size_t n = json_object_array_length (names);

  if (n == 0)
    printf (" none");
  for (size_t i = 0; i < n; i++)
    printf (" %s",
            json_object_get_string (json_object_array_get_idx (names, i)));
}

static void
print_selector (json_object *selector)
{
  json_object *names;

  printf ("%s: %s: %s before:", member (selector, "declaration"),
          member (selector, "field"), member (selector, "matches"));
  if (json_object_object_get_ex (selector, "before", &names))
    print_names (names);
  printf ("; after:");
  if (json_object_object_get_ex (selector, "after", &names))
    print_names (names);
  printf ("\n");
}

static void
apply_print (const apply_t *apply, const br_buf_t *out)
{
  json_object *answer = json_tokener_parse (out->data);
  json_object *selectors;

  if (apply->client.json || answer == NULL)
    {
      fputs (out->data, stdout);
      json_object_put (answer);
      return;
    }
  if (json_object_object_get_ex (answer, "selectors", &selectors))
    for (size_t i = 0; i < json_object_array_length (selectors); i++)
      print_selector (json_object_array_get_idx (selectors, i));
  printf ("revision %s %s (operation %s%s)\n", member (answer, "revision"),
          apply->dry_run ? "is in force, nothing was changed" : "is in force",
          member (answer, "operation"),
          strcmp (member (answer, "repeated"), "true") == 0
              ? ", answered before"
              : "");
  json_object_put (answer);
}

/* Prefixes errors with FILE unless it is empty. */
static int
apply_run (const apply_t *apply,
           enum evhttp_cmd_type method,
           const char *base,
           br_str_t body,
           const char *file)
{
  br_buf_t out = { 0 };
  br_error_t err;
  br_error_t named;
  int code = 0;

  if (apply_send (apply, method, base, body, &out, &err))
    apply_print (apply, &out);
  else
    {
      br_error_set (&named, err.code, err.step, err.peer, "%s%s%.200s", file,
                    file[0] != '\0' ? ": " : "", err.text);
      code = br_command_fail (&named);
    }
  br_buf_free (&out);
  return code;
}

static bool
read_file (const char *path, br_buf_t *text)
{
  FILE *stream = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char part[4096];
  size_t n;

  if (stream == NULL)
    return false;
  while ((n = fread (part, 1, sizeof part, stream)) > 0)
    br_buf_append (text, br_str_make (part, n));
  if (stream != stdin)
    fclose (stream);
  return true;
}

int
br_command_apply (int argc, char **argv)
{
  static const struct argp argp = {
    .options = apply_options,
    .parser = apply_parse,
    .args_doc = "FILE",
    .doc = "Puts the declarations of FILE, a JSON array with comments, in "
           "force on all VMs as one operation, and prints what each selector "
           "matches before and after.  FILE - is standard input.",
    .children = apply_children,
  };
  apply_t apply = { 0 };
  br_buf_t text = { 0 };
  br_error_t err;
  int code;

  br_client_init (&apply.client);
  argp_parse (&argp, argc, argv, 0, NULL, &apply);
  if (!read_file (apply.argument, &text))
    {
      br_error_set (&err, BR_ERROR_USAGE, "read declarations", apply.argument,
                    "the file cannot be opened");
      return br_command_fail (&err);
    }
  apply_name_operation (&apply);
  code = apply_run (&apply, EVHTTP_REQ_POST, "/v1/declarations",
                    br_buf_str (&text), apply.argument);
  br_buf_free (&text);
  return code;
}

int
br_command_delete (int argc, char **argv)
{
  static const struct argp argp = {
    .options = apply_options,
    .parser = apply_parse,
    .args_doc = "KIND/NAME",
    .doc = "Removes a declaration on all VMs.",
    .children = apply_children,
  };
  apply_t apply = { 0 };
  br_buf_t base = { 0 };
  int code;

  br_client_init (&apply.client);
  argp_parse (&argp, argc, argv, 0, NULL, &apply);
  apply_name_operation (&apply);
  br_buf_printf (&base, "/v1/declarations/%s", apply.argument);
  code = apply_run (&apply, EVHTTP_REQ_DELETE, base.data, br_str_from (""), "");
  br_buf_free (&base);
  return code;
}
