/* The caller's request, with what another VM needs to run it again. */
#ifndef BR_CONTRACT_REQUEST_H
#define BR_CONTRACT_REQUEST_H

#include "base/str.h"

BR_BEGIN_DECLS

/* METHOD is the shell's number of the HTTP method.  A STREAMED answer arrives
 * in parts and can be resumed by offset. */
typedef struct
{
  br_name_t service;
  br_name_t organisation;
  bool streamed;
  uint32_t method;
  br_buf_t path;
  br_buf_t body;
  br_buf_t content_type;
} br_contract_request_t;

void br_contract_request_copy (br_contract_request_t *to,
                               const br_contract_request_t *from);
void br_contract_request_free (br_contract_request_t *request);

BR_END_DECLS

#endif
