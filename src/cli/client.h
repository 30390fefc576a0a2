/* HTTP client for the operators' address of a VM. */
#ifndef BR_CLI_CLIENT_H
#define BR_CLI_CLIENT_H

#include <argp.h>
#include <event2/http.h>

#include "base/error.h"

BR_BEGIN_DECLS

/* The VM to send to, and how; filled in by br_client_argp. */
typedef struct
{
  char address[64];
  uint16_t port;
  const char *key;
  int timeout_s;
  bool json; /* print the answer unchanged */
} br_client_t;

/* Parser of the options --server ADDRESS:PORT, --key-file FILE, --timeout S and
 * --json, for use as an argp child.  Its input is a br_client_t. */
extern const struct argp br_client_argp;

/* Sets the defaults of the options. */
void br_client_init (br_client_t *client);

/* Sends a request, waits for the answer and appends its body to OUT.  Returns
 * false, with *ERR set, when the VM answers with an error or not in time. */
bool br_client_call (const br_client_t *client,
                     enum evhttp_cmd_type method,
                     const char *path,
                     br_str_t body,
                     br_buf_t *out,
                     br_error_t *err);

BR_END_DECLS

#endif
