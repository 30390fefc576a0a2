/* Identifies accepted work by the VM that accepted it, that VM's incarnation
 * and a number. */
#ifndef BR_CONTRACT_CONTRACT_ID_H
#define BR_CONTRACT_CONTRACT_ID_H

#include "base/str.h"

BR_BEGIN_DECLS

typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  uint64_t number;
} br_contract_id_t;

/* Appends "VM.INCARNATION.NUMBER", the numbers in hexadecimal. */
void br_contract_id_print (const br_contract_id_t *id, br_buf_t *out);
bool br_contract_id_parse (br_str_t text, br_contract_id_t *id);
bool br_contract_id_equal (const br_contract_id_t *a,
                           const br_contract_id_t *b);

BR_END_DECLS

#endif
