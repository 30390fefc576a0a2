#include "contract/contract_id.h"

#include <inttypes.h>
#include <string.h>

#define HEX_DIGITS_MAX 16

void
br_contract_id_print (const br_contract_id_t *id, br_buf_t *out)
{
  br_buf_printf (out, "%s.%" PRIx64 ".%" PRIx64, id->vm.data, id->incarnation,
                 id->number);
}

/* Parses the hexadecimal number after the last dot of *TEXT, and removes both
 * from *TEXT. */
static bool
id_take_number (br_str_t *text, uint64_t *number)
{
  const char *dot = memrchr (text->data, '.', text->len);
  const char *end = text->data + text->len;

  if (dot == NULL || end - dot - 1 < 1 || end - dot - 1 > HEX_DIGITS_MAX)
    return false;
  *number = 0;
  for (const char *at = dot + 1; at < end; at++)
    {
      const char *digits = "0123456789abcdef";
      const char *digit = *at != '\0' ? strchr (digits, *at) : NULL;

      if (digit == NULL)
        return false;
      *number = *number << 4 | (uint64_t)(digit - digits);
    }
  text->len = (size_t)(dot - text->data);
  return true;
}

bool
br_contract_id_parse (br_str_t text, br_contract_id_t *id)
{
  *id = (br_contract_id_t){ 0 };
  return text.len > 0 && id_take_number (&text, &id->number)
         && id_take_number (&text, &id->incarnation) && text.len > 0
         && br_name_set (&id->vm, text);
}

bool
br_contract_id_equal (const br_contract_id_t *a, const br_contract_id_t *b)
{
  return a->number == b->number && a->incarnation == b->incarnation
         && br_name_equal (&a->vm, &b->vm);
}
