#include "contract/request.h"

void
br_contract_request_copy (br_contract_request_t *to,
                          const br_contract_request_t *from)
{
  *to = *from;
  to->path = to->body = to->content_type = (br_buf_t){ 0 };
  br_buf_append (&to->path, br_buf_str (&from->path));
  br_buf_append (&to->body, br_buf_str (&from->body));
  br_buf_append (&to->content_type, br_buf_str (&from->content_type));
}

void
br_contract_request_free (br_contract_request_t *request)
{
  br_buf_free (&request->path);
  br_buf_free (&request->body);
  br_buf_free (&request->content_type);
}
