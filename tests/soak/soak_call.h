/* Sends one HTTP request on its own connection and returns the whole answer. */
#ifndef BR_TESTS_SOAK_CALL_H
#define BR_TESTS_SOAK_CALL_H

#include "soak.h"

BR_BEGIN_DECLS

typedef struct soak_call soak_call_t;

/* Called once.  STATUS is 0 when no complete answer was received; BODY is valid
 * during the call only. */
typedef void (*soak_call_fn) (void *context, int status, br_str_t body);

typedef struct
{
  struct event_base *base;
  struct sockaddr_in address;
  const char *method;
  const char *path;
  const char *headers; /* NULL: a Host header alone */
  br_str_t body;
  br_ms_t timeout_ms;
  soak_call_fn on_done;
  void *context;
} soak_call_options_t;

/* Sends the request.  The call frees itself before it runs ON_DONE. */
soak_call_t *soak_call_new (const soak_call_options_t *options);

/* Frees a call in progress without running ON_DONE; NULL is allowed. */
void soak_call_cancel (soak_call_t *call);

BR_END_DECLS

#endif
