/* Decides whether a response that arrives on a connection answers the request
 * in progress there.  Does no input or output and keeps no state. */
#ifndef BR_HTTP_RESPONSE_MATCH_H
#define BR_HTTP_RESPONSE_MATCH_H

#include "base/str.h"

BR_BEGIN_DECLS

typedef struct
{
  br_str_t request_id;  /* of the request in progress; empty: it has none */
  br_str_t response_id; /* that the response names; empty: none */
  bool is_first;        /* the first response on its connection, and so on the
                           first request there */
} br_response_match_t;

/* Returns whether the response answers the request.  One that does not is a
 * late or repeated response to another request: none of it may be used. */
bool br_response_matches (const br_response_match_t *match);

BR_END_DECLS

#endif
