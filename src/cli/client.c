#include "cli/client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PORT 8081
#define DEFAULT_TIMEOUT_S 15
#define KEY_MAX 256

typedef struct
{
  struct event_base *base;
  br_buf_t *out;
  int status; /* 0 until the answer has arrived */
} call_t;

static const struct argp_option client_options[] = {
  { "server", 's', "ADDRESS:PORT", 0,
    "Operators' address of the VM (default 127.0.0.1:8081)", 0 },
  { "key-file", 'k', "FILE", 0, "File that holds the operators' key", 0 },
  { "timeout", 't', "SECONDS", 0, "Time limit for the answer (default 15)", 0 },
  { "json", 'j', NULL, 0, "Print JSON", 0 },
  { 0 },
};

static const char *
key_read (const char *path)
{
  static char key[KEY_MAX];
  FILE *stream = fopen (path, "r");

  if (stream == NULL)
    return NULL;
  if (fgets (key, sizeof key, stream) == NULL)
    key[0] = '\0';
  fclose (stream);
  key[strcspn (key, "\r\n")] = '\0';
  return key;
}

static bool
server_parse (br_client_t *client, const char *text)
{
  const char *colon = strrchr (text, ':');
  uint64_t port;
  size_t len;

  if (colon == NULL || !br_str_to_u64 (br_str_from (colon + 1), &port)
      || port == 0 || port > UINT16_MAX)
    return false;
  len = (size_t)(colon - text);
  if (len == 0 || len >= sizeof client->address)
    return false;
  memcpy (client->address, text, len);
  client->address[len] = '\0';
  client->port = (uint16_t)port;
  return true;
}

static error_t
client_parse (int key, char *arg, struct argp_state *state)
{
  br_client_t *client = state->input;

  switch (key)
    {
    case 's':
      if (!server_parse (client, arg))
        argp_error (state, "--server: must be ADDRESS:PORT, not %s", arg);
      return 0;
    case 'k':
      client->key = key_read (arg);
      if (client->key == NULL)
        argp_error (state, "--key-file: cannot read %s", arg);
      return 0;
    case 't':
      client->timeout_s = atoi (arg);
      if (client->timeout_s < 1)
        argp_error (state, "--timeout: must be a number of seconds above 0");
      return 0;
    case 'j':
      client->json = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

const struct argp br_client_argp = {
  .options = client_options,
  .parser = client_parse,
};

void
br_client_init (br_client_t *client)
{
  *client = (br_client_t){
    .address = "127.0.0.1",
    .port = DEFAULT_PORT,
    .timeout_s = DEFAULT_TIMEOUT_S,
  };
}

static void
call_on_done (struct evhttp_request *request, void *context)
{
  call_t *call = context;

  if (request != NULL)
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (request);
      size_t len = evbuffer_get_length (input);

      call->status = evhttp_request_get_response_code (request);
      if (len > 0)
        br_buf_append (
            call->out,
            br_str_make ((const char *)evbuffer_pullup (input, -1), len));
    }
  event_base_loopbreak (call->base);
}

static void
request_add_headers (const br_client_t *client, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  br_buf_t value = { 0 };

  evhttp_add_header (headers, "Host", client->address);
  evhttp_add_header (headers, "Content-Type", "application/json");
  if (client->key == NULL)
    return;
  br_buf_printf (&value, "Bearer %s", client->key);
  evhttp_add_header (headers, "Authorization", value.data);
  br_buf_free (&value);
}

static const char *
json_string (json_object *object, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (object, key, &value))
    return "";
  return json_object_get_string (value);
}

static br_error_code_t
code_of_status (int status)
{
  switch (status)
    {
    case 400:
      return BR_ERROR_INVALID;
    case 401:
      return BR_ERROR_UNAUTHORIZED;
    case 403:
      return BR_ERROR_FORBIDDEN;
    case 404:
      return BR_ERROR_NOT_FOUND;
    case 409:
      return BR_ERROR_CONFLICT;
    case 503:
      return BR_ERROR_UNAVAILABLE;
    default:
      return BR_ERROR_INTERNAL;
    }
}

static br_error_code_t
code_of_name (const char *name, int status)
{
  for (int code = BR_ERROR_OK; code <= BR_ERROR_CORRUPT; code++)
    if (strcmp (br_error_name ((br_error_code_t)code), name) == 0)
      return (br_error_code_t)code;
  return code_of_status (status);
}

/* Sets *ERR from an error answer.  Always returns false. */
static bool
error_read (int status, br_str_t body, br_error_t *err)
{
  json_object *object = json_tokener_parse (body.len > 0 ? body.data : "{}");
  json_object *inner;

  if (json_object_object_get_ex (object, "error", &inner))
    br_error_set (err, code_of_name (json_string (inner, "code"), status),
                  json_string (inner, "step"), json_string (inner, "peer"),
                  "%s", json_string (inner, "message"));
  else
    br_error_set (err, code_of_status (status), "call", "",
                  "the VM answered with status %d", status);
  json_object_put (object);
  return false;
}

bool
br_client_call (const br_client_t *client,
                enum evhttp_cmd_type method,
                const char *path,
                br_str_t body,
                br_buf_t *out,
                br_error_t *err)
{
  call_t call = { .base = event_base_new (), .out = out };
  struct evhttp_connection *connection = evhttp_connection_base_new (
      call.base, NULL, client->address, client->port);
  struct evhttp_request *request = evhttp_request_new (call_on_done, &call);
  size_t start = out->len;

  evhttp_connection_set_timeout (connection, client->timeout_s);
  request_add_headers (client, request);
  evbuffer_add (evhttp_request_get_output_buffer (request), body.data,
                body.len);
  if (evhttp_make_request (connection, request, method, path) == 0)
    event_base_dispatch (call.base);
  evhttp_connection_free (connection);
  event_base_free (call.base);
  if (call.status >= 200 && call.status < 300)
    return true;
  if (call.status == 0)
    return br_error_set (err, BR_ERROR_PEER, "call", client->address,
                         "no answer from port %u within %d s", client->port,
                         client->timeout_s);
  return error_read (call.status,
                     br_str_make (out->data + start, out->len - start), err);
}
