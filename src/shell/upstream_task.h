/* Sends requests to upstreams.  An attempt is one request sent to one upstream.
 * Its progress and result are posted as BR_NODE_ATTEMPT messages. */
#ifndef BR_SHELL_UPSTREAM_TASK_H
#define BR_SHELL_UPSTREAM_TASK_H

#include <event2/http.h>

#include "shell/node.h"

BR_BEGIN_DECLS

/* The views must stay valid only until br_upstream_task_start() returns. */
typedef struct
{
  uint64_t work;        /* repeated in every message */
  const char *upstream; /* name, for errors and health checks */
  const char *address;
  uint16_t port;
  enum evhttp_cmd_type method;
  const char *path; /* with query */
  br_str_t body;
  const char *content_type;
  const char *contract;        /* sent as X-Contract-Id */
  const char *idempotency_key; /* forwarded when not NULL */
  uint64_t content;            /* digest of the request, for the quarantine */
  bool stream;                 /* split the answer into events */
  bool fresh_connection;       /* open a new one, do not reuse one */
  br_ms_t not_after_ms; /* sends no first byte later than this; 0: no limit */
} br_attempt_options_t;

br_upstream_task_t *br_upstream_task_new (br_node_t *node);
void br_upstream_task_free (br_upstream_task_t *task);

/* Starts an attempt and returns its number, never 0. */
uint64_t br_upstream_task_start (br_upstream_task_t *task,
                                 const br_attempt_options_t *options);

/* Cancels an attempt without posting a message.  Ignores unknown numbers. */
void br_upstream_task_cancel (br_upstream_task_t *task, uint64_t attempt);

BR_END_DECLS

#endif
