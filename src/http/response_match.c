#include "http/response_match.h"

bool
br_response_matches (const br_response_match_t *match)
{
  /* Without an id on one of the two sides only the connection tells: before
   * its first response it has carried no other request. */
  if (match->response_id.len == 0)
    return match->is_first;
  return br_str_equal (match->response_id, match->request_id);
}
